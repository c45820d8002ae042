"""Callers that leave while their requests run and wait."""

import asyncio

from tests.site import HOST, KEY, run_site, wait_until

ROUNDS = 6
#: Requests of a round: several times the slots of the pool.
REQUESTS = 24
#: Seconds after which the callers of a round leave.
LEAVE_S = 0.05


async def _send(port, request_id):
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    lines = (
        'GET /lookup/1 HTTP/1.1',
        f'Host: {HOST}',
        f'Anvilhall-Request-Id: {request_id}',
        f'Anvilhall-Credential: {KEY}',
        'Anvilhall-Deadline-Ms: 4000',
        '',
        '',
    )
    writer.write('\r\n'.join(lines).encode())
    return writer


# Guards against slots that are taken for good, and requests of others that end
# early, after a caller has left with many requests under way.
def test_callers_that_leave_take_no_slots_with_them():
    async def scenario():
        async with run_site() as site:
            gateway = site.gateways['g1']
            broker = gateway._fleet.broker
            site.runners['desk-0'].work_s = 0.3
            for turn in range(ROUNDS):
                writers = [
                    await _send(site.ports['g1'], f'left-{turn}-{number}')
                    for number in range(REQUESTS)
                ]
                await asyncio.sleep(LEAVE_S)
                for writer in writers:
                    writer.transport.abort()
                await asyncio.sleep(LEAVE_S)
            await wait_until(lambda: not gateway.context.open_requests)
            await wait_until(lambda: not broker.busy)
            assert broker.running_count == 0
            assert broker.owner.get_shard('desk').running_count == 0
            site.runners['desk-0'].work_s = 0.0
            assert (await site.fetch('/lookup/2')).status == 200

    asyncio.run(scenario())


# Guards against a request that waits to its deadline, as another one with its
# identifier has ended.
def test_request_with_the_identifier_of_one_that_left_is_served():
    async def scenario():
        async with run_site() as site:
            site.runners['desk-0'].work_s = 0.5
            port = site.ports['g1']
            writers = [await _send(port, f'full-{n}') for n in range(4)]
            broker = site.gateways['g1']._fleet.broker
            await wait_until(lambda: broker.running_count == 4)
            left = await _send(port, 'same')
            await wait_until(lambda: broker.busy)
            headers = {'Anvilhall-Request-Id': 'same'}
            again = asyncio.ensure_future(
                site.fetch('/lookup/1', headers=headers)
            )
            await asyncio.sleep(LEAVE_S)
            left.transport.abort()
            assert (await again).status == 200
            for writer in writers:
                writer.close()

    asyncio.run(scenario())
