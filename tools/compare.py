"""Replays traces under several policies in parallel and prints the scores.

Usage: python -m tools.compare SITE KINDS POLICIES

KINDS (of traces) and POLICIES are comma-separated lists.
"""

import pathlib
import sys
from concurrent import futures
from typing import Any

import msgspec

from anvilhall.replay.player import run_replay
from anvilhall.replay.scores import ReplayScore
from anvilhall.replay.traces import Trace

WORKERS = 5


def replay(job: tuple[str, str, str]) -> ReplayScore:
    """Replay one trace; the job names site, kind of trace and policy."""
    site, kind, policy = job
    folder = pathlib.Path('examples', site)
    settings: Any = msgspec.json.decode(
        (folder / 'settings.json').read_bytes(),
    )
    trace = Trace.from_file(folder / 'traces' / f'{kind}.jsonl')
    return run_replay(trace, settings, policy, 1)


def print_score(score: ReplayScore) -> None:
    """Print one score with a line per class that streams tokens."""
    print(
        f'{score.trace:22} {score.policy:18} '
        f'goodput {score.goodput_tokens_s:6.0f} '
        f'wasted {score.wasted_share:.4f} '
        f'lowest waits {score.longest_lowest_wait_s:6.1f} s '
        f'retries {score.retries}',
    )
    for name, entry in score.classes.items():
        if entry.first_token_p99_ms is None:
            continue
        print(
            f'    {name:20} n {entry.requests:5} '
            f'attained {entry.attained_share:.3f} '
            f'busiest {entry.busiest_attained_share} '
            f'p50 {entry.first_token_p50_ms:7.0f} '
            f'p99 {entry.first_token_p99_ms:7.0f} '
            f'gap p99 {entry.gap_p99_ms:5.0f} refused {entry.refused}',
        )


def compare(site: str, kinds: list[str], policies: list[str]) -> None:
    """Replay every trace under every policy and print the scores."""
    jobs = [(site, kind, policy) for kind in kinds for policy in policies]
    with futures.ProcessPoolExecutor(WORKERS) as pool:
        for score in pool.map(replay, jobs):
            print_score(score)


if __name__ == '__main__':
    site_name, kind_list, policy_list = sys.argv[1:]
    compare(site_name, kind_list.split(','), policy_list.split(','))
