"""Calls whose result is shared by all who wait for it at one time."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

_Result = TypeVar('_Result')


class _Turns(Generic[_Result]):
    """Calls about one subject: one that is made and the one after it."""

    __slots__ = ('current', 'later')

    def __init__(self) -> None:
        self.current: asyncio.Task[_Result] | None = None
        self.later: asyncio.Task[_Result] | None = None


class SharedCalls(Generic[_Result]):
    """Makes one call at a time about each subject.

    Who asks while a call is under way needs the result of a later one.

    :param call: makes a call about a subject.
    :param gather_s: seconds by which each call is delayed for others to join.
    """

    __slots__ = ('_call', '_gather_s', '_turns')

    def __init__(
        self, call: Callable[[str], Awaitable[_Result]], gather_s: float = 0
    ) -> None:
        """Start without calls."""
        self._call = call
        self._gather_s = gather_s
        #: Open calls by subject.
        self._turns: dict[str, _Turns[_Result]] = {}

    async def ask(self, subject: str) -> _Result:
        """Return the result of a call that begins after this one."""
        turns = self._turns.setdefault(subject, _Turns())
        if turns.later is None:
            turns.later = asyncio.ensure_future(self._run(subject, turns))
        return await asyncio.shield(turns.later)

    async def _run(self, subject: str, turns: _Turns[_Result]) -> _Result:
        if turns.current:
            await asyncio.wait((turns.current,))
        if self._gather_s:
            await asyncio.sleep(self._gather_s)
        turns.current = turns.later
        turns.later = None
        try:
            return await self._call(subject)
        finally:
            if turns.later is None:
                self._turns.pop(subject, None)
