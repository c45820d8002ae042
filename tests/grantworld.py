"""Brokers with local, remote and fallback owners under random events."""

import asyncio
import random

from anvilhall.core.broker import Broker
from anvilhall.core.directory import Directory
from anvilhall.core.fallback import OwnerTimeouts
from anvilhall.core.members import Member, MemberList
from anvilhall.core.messages import Ask, HeldList, Inventory, Progress, Release
from anvilhall.exceptions import PeerUnreachable, RequestRefused
from anvilhall.grants import PendingGrant

NAMES = ('e1', 'e2', 'e3')
POOLS = ('chat', 'desk')
RUNNERS = {'chat': ('c1', 'c2'), 'desk': ('d1', 'd2')}
CLASSES = {'chat': ('quick', 'draft', 'bulk'), 'desk': ('order', 'lookup')}
TIMEOUTS = OwnerTimeouts(answer_timeout_s=0.06, settling_s=0.5)
#: Longer than any request is queued.
DEADLINE_S = 4.0


class Caller:
    """A caller's request, with the task that waits for its grant."""

    def __init__(self, broker, ask):
        self.broker = broker
        self.ask = ask
        self.pending = PendingGrant()
        self.task = asyncio.ensure_future(self._run())
        #: Whether the request holds a grant; whether its runner has answered.
        self.holds = False
        self.ended = asyncio.Event()

    async def _run(self):
        try:
            grant = await self.pending.wait(self.broker, self.ask)
        except RequestRefused:
            return
        self.holds = True
        try:
            await self.ended.wait()
        finally:
            self.holds = False
            self.broker.release(
                Release(grant.pool, grant.request_id, served=True)
            )


class World:
    """Three instances, their network, and the callers of each."""

    def __init__(self, seed, tree, clock):
        self.rng = random.Random(seed)
        self.clock = clock
        self.tree = tree
        #: Messages under way, by sender and receiver.
        self.wires = {}
        self.down = set()
        self.callers = []
        self.count = 0
        self.live = {name: list(NAMES) for name in NAMES}
        self.runners = [
            Member(runner, f'{runner}:1', 'd', pool)
            for pool in POOLS
            for runner in RUNNERS[pool]
        ]
        self.directories = {name: Directory(name, '') for name in NAMES}
        self.brokers = {name: self._build_broker(name) for name in NAMES}
        for name in NAMES:
            self._set_list(name)
            self.directories[name].set_live(list(NAMES))
            self.brokers[name].set_tree(tree)

    def _build_broker(self, name):
        def send(receiver, message):
            self._send(name, receiver, message)

        def forward(receiver, message):
            try:
                self._send(name, receiver, message)
            except PeerUnreachable:
                return

        return Broker(
            name,
            self.clock,
            self.directories[name],
            send,
            forward,
            timeouts=TIMEOUTS,
        )

    def _set_list(self, name):
        entries = [Member(each, f'{each}:1', 'd') for each in NAMES]
        members = (*entries, *self.runners)
        self.directories[name].set_list(MemberList(members=members))

    def _send(self, sender, receiver, message):
        if frozenset((sender, receiver)) in self.down:
            raise PeerUnreachable('cut')
        self.wires.setdefault((sender, receiver), []).append(message)

    async def settle(self):
        """Let the tasks of callers run."""
        for _ in range(3):
            await asyncio.sleep(0)

    def begin(self):
        self.count += 1
        pool = self.rng.choice(POOLS)
        name = self.rng.choice(NAMES)
        ask = Ask(
            pool,
            f'q{self.count}',
            self.rng.choice(CLASSES[pool]),
            'ann',
            1,
            1,
            DEADLINE_S,
            (('part', 1),),
        )
        self.callers.append(Caller(self.brokers[name], ask))

    def leave(self):
        """Have several callers leave within one round of the loop."""
        for caller in self.rng.sample(
            self.callers, min(len(self.callers), self.rng.randint(1, 6))
        ):
            caller.task.cancel()

    def end(self):
        holding = [caller for caller in self.callers if caller.holds]
        if holding:
            self.rng.choice(holding).ended.set()

    def progress(self):
        holding = [caller for caller in self.callers if caller.holds]
        if holding:
            caller = self.rng.choice(holding)
            ask = caller.ask
            caller.broker.note_progress(
                Progress(ask.pool, ask.request_id, 0.1, 3, 0.01)
            )

    def carry(self):
        """Deliver the first message of one wire."""
        wires = [wire for wire, messages in self.wires.items() if messages]
        if not wires:
            return
        sender, receiver = self.rng.choice(wires)
        message = self.wires[sender, receiver].pop(0)
        broker = self.brokers[receiver]
        broker.fallback.mark_responsive(sender)
        if isinstance(message, Ask | Progress | Release | Inventory | HeldList):
            broker.owner.handle(sender, message)
        else:
            broker.handle_answer(sender, message)

    def pass_time(self):
        self.clock.advance(self.rng.choice((0.01, 0.05, 0.1, 0.4)))
        for broker in self.brokers.values():
            broker.tick()

    def cut(self):
        pair = frozenset(self.rng.sample(NAMES, 2))
        if pair in self.down:
            self.rejoin(pair)
            return
        self.down.add(pair)
        first, second = sorted(pair)
        self.wires.pop((first, second), None)
        self.wires.pop((second, first), None)
        self.brokers[first].handle_link_down(second)
        self.brokers[second].handle_link_down(first)

    def rejoin(self, pair):
        self.down.discard(pair)
        first, second = sorted(pair)
        self.brokers[first].handle_link_up(second)
        self.brokers[second].handle_link_up(first)

    def change_view(self):
        name = self.rng.choice(NAMES)
        others = [each for each in NAMES if each != name]
        seen = self.rng.sample(others, self.rng.randint(0, len(others)))
        self.set_live(name, sorted((name, *seen)))

    def set_live(self, name, live):
        gone = set(self.directories[name].live) - set(live)
        self.directories[name].set_live(live)
        for each in sorted(gone):
            self.brokers[name].owner.drop_sender(each)
        self.brokers[name].refresh(self.tree)

    def change_settings(self):
        for name in self.rng.sample(NAMES, self.rng.randint(1, len(NAMES))):
            self.brokers[name].set_tree(self.tree)

    def replace_runner(self):
        index = self.rng.randrange(len(self.runners))
        runner = self.runners[index]
        self.runners[index] = Member(
            runner.name,
            runner.address,
            'd',
            runner.pool,
            leaving=not runner.leaving,
        )
        for name in NAMES:
            self._set_list(name)
            self.brokers[name].refresh(self.tree)

    def check_running(self):
        """Check that each slot of a broker is held by one of its callers."""
        for broker in self.brokers.values():
            held = sum(
                caller.holds
                for caller in self.callers
                if caller.broker is broker
            )
            assert broker.running_count == held

    async def step(self):
        action = self.rng.choices(
            (
                self.begin,
                self.leave,
                self.end,
                self.progress,
                self.carry,
                self.pass_time,
                self.cut,
                self.change_view,
                self.change_settings,
                self.replace_runner,
            ),
            (30, 6, 12, 4, 40, 12, 2, 2, 2, 1),
        )[0]
        action()
        await self.settle()
        self.check_running()
        self.callers = [
            caller for caller in self.callers if not caller.task.done()
        ]

    async def end_all(self):
        """Restore the network, have all callers leave, and pass some time."""
        for pair in list(self.down):
            self.rejoin(pair)
        for name in NAMES:
            self.set_live(name, list(NAMES))
        for caller in self.callers:
            caller.task.cancel()
        for _ in range(80):
            await self.settle()
            while any(self.wires.values()):
                self.carry()
            await self.settle()
            self.clock.advance(0.1)
            for broker in self.brokers.values():
                broker.tick()
        self.check_running()

    def list_taken(self):
        """Return the slots and asks that are left in any shard."""
        return [
            (name, pool, shard.running_count, shard.waiting_count)
            for name, broker in self.brokers.items()
            for pool in POOLS
            for owner in (broker.owner, broker.fallback.owner)
            if (shard := owner.get_shard(pool))
            and (shard.running_count or shard.waiting_count)
        ]
