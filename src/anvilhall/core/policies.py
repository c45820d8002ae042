"""Named policies: which of the mechanisms of a shard are at work.

The daemon uses the default; the others switch one mechanism off or on each, so
that a replay shows what it is worth.
"""

import msgspec

from anvilhall.registry import Registry

#: Name of the policy of the daemon.
DEFAULT_POLICY = 'anvilhall'


class Policy(msgspec.Struct, frozen=True, kw_only=True):
    """Switches of the mechanisms."""

    #: Strict order of tiers; without, classes share by weight alone.
    tiers: bool = True
    #: A class that has waited for its floor interval goes first.
    floor: bool = True
    #: After a refusal for load, what becomes free is kept for requests of the
    #: same order.
    keep_order: bool = False
    #: Requests that have missed their target wait behind those that have not.
    demote_late: bool = True
    #: Client accounts of a class share in virtual time.
    fair_accounts: bool = True
    #: Long requests may hold only part of a runner.
    protect_short: bool = True
    #: Name of the way in which a runner is chosen.
    placement: str = 'by-tier'
    #: Prefill that would bring the streams of higher tiers beyond their gap
    #: waits; without, it only counts in the choice of a runner.
    guard_gaps: bool = True
    #: The pool's base time and typical slowdown are learned, and a backlog
    #: counts without what is cached; without, the settings' speeds hold.
    calibrate: bool = False
    #: Runners observed to be slow or failing get single probes.
    avoid_suspects: bool = True
    #: Cached prompt prefixes count in the choice of a runner.
    use_prefixes: bool = True
    #: Slots are kept for high tiers while a schedule is active.
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
