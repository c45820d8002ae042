Feature: Each class meets its target as far as capacity allows
  Recorded traces are replayed and checked against the service levels that users require.

  Scenario: Long prompts do not delay bench questions
    Given the replay of "long" under "anvilhall"
    Then the first token of "bench-question" at p99 is at most 1.5 times that of "ordinary" under "anvilhall"
    And the first token of "bench-question" at p99 is at most 0.2 times that of "long" under "round-robin"

  Scenario Outline: The highest tier meets its target at peak load
    Given the replay of "crest" with seed <seed>
    Then "bench-question" attains at least 0.99 in the busiest ten seconds

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  Scenario: The Association's highest tier is served at the crest of a swing
    Given the replay of "association/crest" under "anvilhall"
    Then "quick-reply" attains at least 0.99 in the busiest ten seconds

  Scenario: With slow runners, bench questions wait at most half as long as under least reported load
    Given the replay of "stragglers" under "anvilhall"
    Then the first token of "bench-question" at p99 is at most 0.5 times that of "stragglers" under "least-reported"

  Scenario: Slow runners at most double the wait of bench questions
    Given the replay of "stragglers" under "anvilhall"
    Then the first token of "bench-question" at p99 is at most 2.0 times that of "ordinary" under "anvilhall"

  Scenario Outline: Little work is wasted
    Given the replay of "<trace>" under "anvilhall"
    Then at most <share> of the work is wasted

    Examples:
      | trace      | share |
      | ordinary   | 0.01  |
      | long       | 0.01  |
      | crest      | 0.01  |
      | flood      | 0.01  |
      | stragglers | 0.05  |
      | crash      | 0.05  |

  Scenario Outline: No class waits 30 s without a first token
    Given the replay of "<trace>" under "anvilhall"
    Then no class goes 30 s without a first token while its requests wait

    Examples:
      | trace |
      | crest |
      | flood |
      | long  |

  Scenario: A flood by one account hardly affects other accounts of its class
    Given the replay of "flood" under "anvilhall"
    Then "bench-question" of accounts other than "bay-2" attains at most 0.02 less than in "ordinary"

  Scenario Outline: Sessions with long shared prompts meet their targets in bursts and crashes
    Given the replay of "<trace>" under "relay"
    Then every class attains at least 0.95

    Examples:
      | trace                      |
      | bayou-runner/weekend       |
      | bayou-runner/weekend-crash |
