"""Runs an end-to-end session against the processes that demo.sh started.

It acts as a caller and as an operator, and prints the result of each step.
"""

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
CALLERS = [f'http://127.0.0.1:{18101 + index}' for index in range(3)]
OPERATORS = [f'http://127.0.0.1:{18141 + index}' for index in range(3)]
ENGINES = [f'http://127.0.0.1:{18300 + index}' for index in range(6)]
SERVICES = [f'http://127.0.0.1:{18400 + index}' for index in range(2)]
SETTINGS = pathlib.Path('examples/tsvetkov/settings.json')
READY_TIMEOUT_S = 15.0
IN_FORCE_LIMIT_S = 4.0
HTTP_OK = 200


class StepFailed(Exception):
    """A step of the session had an unexpected result."""


class Session:
    """Steps of the session with their shared HTTP client."""

    __slots__ = ('_outbound', '_process_dir')

    def __init__(self, process_dir: pathlib.Path) -> None:
        """Create a session.

        :param process_dir: directory with a file ``NAME.pid`` per process.
        """
        self._process_dir = process_dir
        self._outbound = CurlOutbound()

    async def publish(self) -> str:
        """Publish the example settings and wait until all daemons are ready."""
        self._run_command('check', str(SETTINGS))
        await self._wait_for(self._is_log_reachable)
        self._run_command('publish', str(SETTINGS), '--log', LOG_URL)
        await self._wait_for(self._all_ready)
        return 'three instances are ready'

    async def stream_response(self) -> str:
        """Stream a response and compare it word by word."""
        body = build_chat('Which rail fits row 3?', 20, stream=True)
        chunks: list[bytes] = []
        reply = await self._chat(0, body, chunks)
        require(reply.status == HTTP_OK, f'status {reply.status}, not 200')
        check_response(body, chunks)
        return f'{len(chunks)} parts, every word as the engine generated it'

    async def request_unstreamed(self) -> str:
        """Request a response that is not streamed."""
        body = build_chat('Torque of an M8 bolt?', 8, stream=False)
        parts: list[bytes] = []
        await self._chat(1, body, parts)
        answer = msgspec.json.decode(b''.join(parts))
        text = answer['choices'][0]['message']['content']
        require(text == expect_text(body), f'unexpected text {text!r}')
        return 'one JSON response, as the engine generated it'

    async def call_service(self) -> str:
        """Call a plain service from a failure domain without one."""
        reply = await self._order(2, 'stock-lookup', 'stock/rail', None)
        require(reply.status == HTTP_OK, f'status {reply.status}, not 200')
        return 'plovdiv-3 got a response from a service of another domain'

    async def order_twice(self) -> str:
        """Send an order with the same idempotency key to two instances."""
        first = await self._order(0, 'seat-order', 'orders', 'order-17')
        second = await self._order(1, 'seat-order', 'orders', 'order-17')
        runs = [run for url in SERVICES for run in await self._list_runs(url)]
        count = runs.count('order-17')
        require(count == 1, f'the order ran {count} times instead of once')
        require(first.status == HTTP_OK, f'first status {first.status}')
        require(
            second.body == first.body,
            f'second response {second.body!r} instead of {first.body!r}',
        )
        return 'ran once; the repeat got the same response'

    async def send_wrong_key(self) -> str:
        """Send a wrong key and check that the refused request was not run."""
        parts: list[bytes] = []
        before = await self._count_started()
        body = build_chat('Hello?', 4, stream=True)
        reply = await self._chat(0, body, parts, key='wrong-key')
        error = msgspec.json.decode(b''.join(parts))['error']
        require(reply.status == 401, f'status {reply.status} instead of 401')
        require(
            error['outcome'] == 'not_run',
            f'outcome {error["outcome"]} instead of not_run',
        )
        require(
            await self._count_started() == before,
            'an engine started the refused request',
        )
        return f'{error["code"]}, not run, and no engine started it'

    async def change_settings(self) -> str:
        """Publish new settings and time until they are in force everywhere."""
        changed = msgspec.json.decode(SETTINGS.read_bytes())
        changed['tsvetkov']['class_defaults']['deadline_s'] = 90
        path = self._process_dir / 'changed.json'
        path.write_bytes(msgspec.json.encode(changed))
        before = await self._read_versions()
        started = time.monotonic()
        self._run_command('publish', str(path), '--log', LOG_URL)
        await self._wait_for(lambda: self._are_versions_newer(max(before)))
        elapsed_s = time.monotonic() - started
        require(
            elapsed_s < IN_FORCE_LIMIT_S,
            f'in force after {elapsed_s:.2f} s, limit {IN_FORCE_LIMIT_S} s',
        )
        return (
            f'in force on all three {elapsed_s:.2f} s after the start of '
            'the command'
        )

    async def kill_engine(self) -> str:
        """Kill the engine in the middle of a response."""
        body = build_chat('Describe the anchor plate.', 60, stream=True)
        chunks: list[bytes] = []
        answer = asyncio.ensure_future(self._chat(0, body, chunks))
        await self._wait_for(lambda: count_parts(chunks, 10))
        engine = await self._find_running()
        self._signal(f'fitting-assist-{engine}', signal.SIGKILL)
        reply = await answer
        require(reply.status == HTTP_OK, f'status {reply.status}, not 200')
        check_response(body, chunks)
        return f'fitting-assist-{engine} killed; the response is complete'

    async def stop_daemon(self) -> str:
        """Stop a daemon by SIGTERM while it relays a stream."""
        body = build_chat('List the seat variants.', 60, stream=True)
        chunks: list[bytes] = []
        answer = asyncio.ensure_future(self._chat(2, body, chunks))
        await self._wait_for(lambda: count_parts(chunks, 10))
        self._signal('entry-3', signal.SIGTERM)
        await asyncio.sleep(0.1)
        refused = await self._chat(2, body, [])
        reply = await answer
        require(reply.status == HTTP_OK, f'status {reply.status}, not 200')
        check_response(body, chunks)
        require(
            refused.status == 503,
            f'status {refused.status} of a new request instead of 503',
        )
        await self._wait_for(lambda: self._has_exited('entry-3'))
        return 'new request refused; the open stream completed'

    async def _chat(
        self,
        index: int,
        body: bytes,
        chunks: list[bytes],
        key: str = 'bay-1-key',
    ) -> Reply:
        call = Call(
            url=f'{CALLERS[index]}/v1/chat/completions',
            method='POST',
            headers={'Authorization': f'Bearer {key}'},
            body=body,
        )
        return await self._outbound.stream(call, Transfer(), chunks.append)

    async def _order(
        self,
        index: int,
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
            url=f'{CALLERS[index]}/services/shop-ledger/{path}',
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
        for index, url in enumerate(ENGINES):
            if (await self._get(f'{url}/load'))['running']:
                return index
        raise StepFailed('no engine runs a request')

    async def _is_log_reachable(self) -> bool:
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

    async def _are_versions_newer(self, version: int) -> bool:
        return min(await self._read_versions()) > version

    async def _has_exited(self, name: str) -> bool:
        try:
            os.kill(self._read_pid(name), 0)
        except ProcessLookupError:
            return True
        return is_zombie(self._read_pid(name))

    async def _wait_for(self, condition: Callable[[], Any]) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                if await condition():
                    return
            except AnvilhallError:
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.02)
        raise StepFailed(f'condition not met within {READY_TIMEOUT_S} s')

    def _read_pid(self, name: str) -> int:
        return int((self._process_dir / f'{name}.pid').read_text())

    def _signal(self, name: str, number: signal.Signals) -> None:
        os.kill(self._read_pid(name), number)

    def _run_command(self, *arguments: str) -> None:
        command = [sys.executable, '-m', 'anvilhall.commands', *arguments]
        ended = subprocess.run(command, capture_output=True, check=False)
        require(ended.returncode == 0, (ended.stderr + ended.stdout).decode())


async def count_parts(chunks: list[bytes], wanted: int) -> bool:
    """Return whether at least ``wanted`` parts of a response have arrived."""
    return len(chunks) >= wanted


def build_chat(text: str, max_tokens: int, *, stream: bool) -> bytes:
    """Build a chat-completions body with one user message."""
    return msgspec.json.encode(
        {
            'model': 'stand-in',
            'messages': [{'role': 'user', 'content': text}],
            'max_tokens': max_tokens,
            'stream': stream,
        },
    )


def expect_text(body: bytes) -> str:
    """Return the text that every engine generates for a body."""
    request = msgspec.json.decode(body, type=ChatRequest)
    seed, _ = read_prompt(request)
    words = [make_word(seed, index) for index in range(request.max_tokens)]
    return ''.join(words)


def check_response(body: bytes, chunks: list[bytes]) -> None:
    """Check that a streamed response is complete and has the expected text."""
    require(b'[DONE]' in b''.join(chunks), 'the response has no [DONE] event')
    text = decode_answer(chunks).text
    require(text == expect_text(body), f'unexpected text {text!r}')


def require(condition: bool, message: str) -> None:
    """Fail the step with a message unless the condition is true.

    :raises StepFailed: if the condition is false.
    """
    if not condition:
        raise StepFailed(message)


def is_zombie(pid: int) -> bool:
    """Return whether a process has exited and its parent has not reaped it."""
    status = pathlib.Path(f'/proc/{pid}/status')
    return status.exists() and '\nState:\tZ' in status.read_text()


async def run_session(process_dir: pathlib.Path) -> int:
    """Run all steps, print their results and return the number of failures."""
    session = Session(process_dir)
    steps = [
        session.publish,
        session.stream_response,
        session.request_unstreamed,
        session.call_service,
        session.order_twice,
        session.send_wrong_key,
        session.change_settings,
        session.kill_engine,
        session.stop_daemon,
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
