"""A caller's and an operator's session against the demonstration."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from typing import Any

import msgspec

from anvilhall.events import decode_answer
from anvilhall.exceptions import AnvilhallError
from anvilhall.outbound import Call, CurlOutbound, Reply, Transfer
from anvilhall_standins.engine import ChatRequest, make_word, read_prompt

LOG_URL = 'http://127.0.0.1:18200'
CALLERS = [f'http://127.0.0.1:{18101 + place}' for place in range(3)]
OPERATORS = [f'http://127.0.0.1:{18141 + place}' for place in range(3)]
ENGINES = [f'http://127.0.0.1:{18300 + place}' for place in range(6)]
SERVICES = [f'http://127.0.0.1:{18400 + place}' for place in range(2)]
SETTINGS = pathlib.Path('examples/tsvetkov/settings.json')
READY_TIMEOUT_S = 15.0
IN_FORCE_LIMIT_S = 4.0
HTTP_OK = 200


class StepFailed(Exception):
    """A step of the session did not do what it must."""


class Session:
    """The steps, and what they share."""

    __slots__ = ('_outbound', '_process_dir')

    def __init__(self, process_dir: pathlib.Path) -> None:
        """Find the process identifiers in a directory."""
        self._process_dir = process_dir
        self._outbound = CurlOutbound()

    async def publish(self) -> str:
        """Publish the example settings and wait until all are ready."""
        self._run_command('check', str(SETTINGS))
        await self._wait_for(self._log_answers)
        self._run_command('publish', str(SETTINGS), '--log', LOG_URL)
        await self._wait_for(self._all_ready)
        return 'three instances are ready'

    async def stream_answer(self) -> str:
        """Stream an answer and compare it word by word."""
        body = build_chat('Which rail fits row 3?', 20, stream=True)
        runs: list[bytes] = []
        reply = await self._chat(0, body, runs)
        check(reply.status == HTTP_OK, f'status {reply.status}')
        check_answer(body, runs)
        return f'{len(runs)} parts, every word as the engine made it'

    async def answer_whole(self) -> str:
        """Get an answer that is not streamed."""
        body = build_chat('Torque of an M8 bolt?', 8, stream=False)
        parts: list[bytes] = []
        await self._chat(1, body, parts)
        answer = msgspec.json.decode(b''.join(parts))
        text = answer['choices'][0]['message']['content']
        check(text == expect_text(body), f'text {text!r}')
        return 'one JSON answer, as the engine made it'

    async def call_service(self) -> str:
        """Call a plain service from a domain that has none."""
        reply = await self._order(2, 'stock-lookup', 'stock/rail', None)
        check(reply.status == HTTP_OK, f'status {reply.status}')
        return 'answered for plovdiv-3 by a service of another domain'

    async def order_twice(self) -> str:
        """Send an order with one key to two instances."""
        first = await self._order(0, 'seat-order', 'orders', 'order-17')
        second = await self._order(1, 'seat-order', 'orders', 'order-17')
        runs = [run for url in SERVICES for run in await self._list_runs(url)]
        count = runs.count('order-17')
        check(count == 1, f'the order ran {count} times')
        check(first.status == HTTP_OK, f'first: {first.status}')
        check(second.body == first.body, f'second: {second.body!r}')
        return 'ran once; the repeat got the same answer'

    async def refuse(self) -> str:
        """Get a refusal that is true."""
        parts: list[bytes] = []
        before = await self._count_started()
        body = build_chat('Hello?', 4, stream=True)
        reply = await self._chat(0, body, parts, key='wrong-key')
        error = msgspec.json.decode(b''.join(parts))['error']
        check(reply.status == 401, f'status {reply.status}')
        check(error['outcome'] == 'not_run', f'outcome {error["outcome"]}')
        check(await self._count_started() == before, 'an engine started it')
        return f'{error["code"]}, not run, and no engine saw it'

    async def change_settings(self) -> str:
        """Change settings and time until they are in force everywhere."""
        changed = msgspec.json.decode(SETTINGS.read_bytes())
        changed['tsvetkov']['class_defaults']['deadline_s'] = 90
        path = self._process_dir / 'changed.json'
        path.write_bytes(msgspec.json.encode(changed))
        before = await self._read_versions()
        began = time.monotonic()
        self._run_command('publish', str(path), '--log', LOG_URL)
        await self._wait_for(lambda: self._newer_than(max(before)))
        took_s = time.monotonic() - began
        check(took_s < IN_FORCE_LIMIT_S, f'{took_s:.2f} s')
        return f'in force on all three {took_s:.2f} s after the command began'

    async def kill_engine(self) -> str:
        """Kill the engine in the middle of an answer."""
        body = build_chat('Describe the anchor plate.', 60, stream=True)
        runs: list[bytes] = []
        answer = asyncio.ensure_future(self._chat(0, body, runs))
        await self._wait_for(lambda: count_parts(runs, 10))
        engine = await self._find_running()
        self._signal(f'fitting-assist-{engine}', signal.SIGKILL)
        reply = await answer
        check(reply.status == HTTP_OK, f'status {reply.status}')
        check_answer(body, runs)
        return f'fitting-assist-{engine} killed; the answer is whole'

    async def end_daemon(self) -> str:
        """End a daemon by SIGTERM with a stream in flight."""
        body = build_chat('List the seat variants.', 60, stream=True)
        runs: list[bytes] = []
        answer = asyncio.ensure_future(self._chat(2, body, runs))
        await self._wait_for(lambda: count_parts(runs, 10))
        self._signal('entry-3', signal.SIGTERM)
        await asyncio.sleep(0.1)
        refused = await self._chat(2, body, [])
        reply = await answer
        check(reply.status == HTTP_OK, f'status {reply.status}')
        check_answer(body, runs)
        check(refused.status == 503, f'new request: {refused.status}')
        await self._wait_for(lambda: self._is_gone('entry-3'))
        return 'new work refused, the stream in flight ended whole'

    async def _chat(
        self,
        place: int,
        body: bytes,
        runs: list[bytes],
        key: str = 'bay-1-key',
    ) -> Reply:
        call = Call(
            url=f'{CALLERS[place]}/v1/chat/completions',
            method='POST',
            headers={'Authorization': f'Bearer {key}'},
            body=body,
        )
        return await self._outbound.stream(call, Transfer(), runs.append)

    async def _order(
        self,
        place: int,
        class_name: str,
        path: str,
        key: str | None,
    ) -> Reply:
        headers = {
            'Authorization': 'Bearer quoting-clerk-key',
            'Anvilhall-Class': class_name,
        }
        if key:
            headers['Idempotency-Key'] = key
        call = Call(
            url=f'{CALLERS[place]}/services/shop-ledger/{path}',
            method='POST',
            headers=headers,
            body=b'{"part": "rail"}',
        )
        return await self._outbound.fetch(call)

    async def _get(self, url: str) -> Any:
        reply = await self._outbound.fetch(Call(url=url, timeout_s=1))
        return msgspec.json.decode(reply.body)

    async def _list_runs(self, url: str) -> list[str]:
        return list((await self._get(f'{url}/load'))['runs'])

    async def _count_started(self) -> int:
        loads = [await self._get(f'{url}/load') for url in ENGINES]
        return sum(len(load['started']) for load in loads)

    async def _find_running(self) -> int:
        for place, url in enumerate(ENGINES):
            if (await self._get(f'{url}/load'))['running']:
                return place
        raise StepFailed('no engine is running anything')

    async def _log_answers(self) -> bool:
        await self._get(f'{LOG_URL}/appends')
        return True

    async def _all_ready(self) -> bool:
        statuses = [await self._get(f'{url}/status') for url in OPERATORS]
        return all(
            status['ready'] and len(status['live']) == len(OPERATORS)
            for status in statuses
        )

    async def _read_versions(self) -> list[int]:
        statuses = [await self._get(f'{url}/status') for url in OPERATORS]
        return [status['settings_version'] for status in statuses]

    async def _newer_than(self, version: int) -> bool:
        return min(await self._read_versions()) > version

    async def _is_gone(self, name: str) -> bool:
        try:
            os.kill(self._read_pid(name), 0)
        except ProcessLookupError:
            return True
        return is_zombie(self._read_pid(name))

    async def _wait_for(self, condition: Callable[[], Any]) -> None:
        give_up_at = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < give_up_at:
            try:
                if await condition():
                    return
            except AnvilhallError:
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.02)
        raise StepFailed('waited too long')

    def _read_pid(self, name: str) -> int:
        return int((self._process_dir / f'{name}.pid').read_text())

    def _signal(self, name: str, number: signal.Signals) -> None:
        os.kill(self._read_pid(name), number)

    def _run_command(self, *arguments: str) -> None:
        command = [sys.executable, '-m', 'anvilhall.commands', *arguments]
        ended = subprocess.run(command, capture_output=True, check=False)
        check(ended.returncode == 0, (ended.stderr + ended.stdout).decode())


async def count_parts(runs: list[bytes], wanted: int) -> bool:
    """Return whether enough parts of an answer have arrived."""
    return len(runs) >= wanted


def build_chat(text: str, max_tokens: int, *, stream: bool) -> bytes:
    """Return a chat-completions body."""
    return msgspec.json.encode(
        {
            'model': 'stand-in',
            'messages': [{'role': 'user', 'content': text}],
            'max_tokens': max_tokens,
            'stream': stream,
        },
    )


def expect_text(body: bytes) -> str:
    """Return the answer that the engines give to a body."""
    request = msgspec.json.decode(body, type=ChatRequest)
    seed, _ = read_prompt(request)
    words = [make_word(seed, place) for place in range(request.max_tokens)]
    return ''.join(words)


def check_answer(body: bytes, runs: list[bytes]) -> None:
    """Check that a streamed answer is whole."""
    check(b'[DONE]' in b''.join(runs), 'the answer has no end')
    text = decode_answer(runs).text
    check(text == expect_text(body), f'not the whole answer: {text!r}')


def check(holds: bool, otherwise: str) -> None:
    """Fail the step unless something holds."""
    if not holds:
        raise StepFailed(otherwise)


def is_zombie(pid: int) -> bool:
    """Return whether a process has ended and waits for its parent."""
    status = pathlib.Path(f'/proc/{pid}/status')
    return status.exists() and '\nState:\tZ' in status.read_text()


async def run_session(process_dir: pathlib.Path) -> int:
    """Run all steps; return the number that failed."""
    session = Session(process_dir)
    steps = [
        session.publish,
        session.stream_answer,
        session.answer_whole,
        session.call_service,
        session.order_twice,
        session.refuse,
        session.change_settings,
        session.kill_engine,
        session.end_daemon,
    ]
    failed = 0
    for step in steps:
        title = (step.__doc__ or '').rstrip('.')
        try:
            outcome = await step()
        except (StepFailed, AnvilhallError, OSError) as error:
            failed += 1
            print(f'FAILED  {title}: {error}')
        else:
            print(f'ok      {title}: {outcome}')
    print(f'{len(steps) - failed} passed, {failed} failed')
    return failed


if __name__ == '__main__':
    sys.exit(min(1, asyncio.run(run_session(pathlib.Path(sys.argv[1])))))
