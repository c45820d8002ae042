"""Named scheduling policies: sets of switches for a shard's mechanisms.

The daemon uses the default unless its configuration names another, such as
``relay``. The ``no-*`` and ``with-*`` policies switch one mechanism off or on,
so that replays can measure its effect.
"""

import msgspec

from anvilhall.registry import Registry

#: Name of the policy that is used unless another is configured.
DEFAULT_POLICY = 'anvilhall'


class Policy(msgspec.Struct, frozen=True, kw_only=True):
    """Switches of the scheduling mechanisms."""

    #: Tiers have strict priority; if off, classes share by weight alone.
    tiers: bool = True
    #: A class without a grant for its floor interval goes before all tiers.
    floor: bool = True
    #: After a waiting request has expired, free slots are held for requests of
    #: the same or a higher priority.
    keep_order: bool = False
    #: Requests that have missed their target wait behind those that have not.
    demote_late: bool = True
    #: Client accounts of a class share by weighted fair queueing; if off, a
    #: class is one queue.
    fair_accounts: bool = True
    #: Long requests may occupy only some slots of a runner, and only so many
    #: prompt tokens of theirs may be in prefill at once; if off, ``guard_gaps``
    #: has no effect either.
    protect_short: bool = True
    #: Name of the placement that computes a runner's cost.
    placement: str = 'by-tier'
    #: A request whose prefill would make streams of higher tiers exceed their
    #: gap targets waits until the budget of late gaps allows it; if off, late
    #: gaps only add to the placement cost.
    guard_gaps: bool = True
    #: The pool's first-token overhead and median slowdown are estimated from
    #: observations, and the backlog leaves out cached tokens; if off, the
    #: settings' speeds are used and the backlog counts whole prompts.
    calibrate: bool = False
    #: Runners that are slow or failing get only probe requests.
    avoid_suspects: bool = True
    #: Prompt prefixes that a runner has cached lower its placement cost.
    use_prefixes: bool = True
    #: Slots are reserved for high tiers while a schedule is active.
    reserve: bool = True
    #: Running requests may be paused for waiting ones of a higher tier.
    pause: bool = False


POLICIES: Registry[Policy] = Registry('policy')

POLICIES.register(DEFAULT_POLICY)(Policy())
POLICIES.register('relay')(
    Policy(
        placement='by-length',
        guard_gaps=False,
        calibrate=True,
        keep_order=True,
    ),
)
POLICIES.register('no-tiers')(Policy(tiers=False))
POLICIES.register('no-floor')(Policy(floor=False))
POLICIES.register('no-demote-late')(Policy(demote_late=False))
POLICIES.register('no-fair-accounts')(Policy(fair_accounts=False))
POLICIES.register('no-protect-short')(
    Policy(placement='by-first-token', protect_short=False)
)
POLICIES.register('no-avoid-suspects')(Policy(avoid_suspects=False))
POLICIES.register('no-prefixes')(Policy(use_prefixes=False))
POLICIES.register('no-reserve')(Policy(reserve=False))
POLICIES.register('with-pause')(Policy(pause=True))
