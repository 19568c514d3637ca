"""The deadline sent to a server is the time left to the client, whatever has delayed the attempt."""

from __future__ import annotations

import asyncio

from sagetrack.core.clock import now_us
from tests.sockets import (
    Exchange,
    configuration,
    http_response,
    no_response,
    on_event_loop,
    request,
    running_gateway,
    scripted_server,
    wait_until,
)
from tests.test_races import HeldConnections

SLACK_MS = 150  # tolerance by which the deadline sent may exceed the time left


def sent_budget_ms(exchange: Exchange) -> int:
    return int(exchange.message.headers["x-budget-ms"])


@on_event_loop
async def test_the_deadline_sent_to_a_server_is_reduced_by_a_late_connection() -> None:
    async with scripted_server(no_response) as upstream, running_gateway(configuration(upstream)) as run:
        delayed = HeldConnections(run)
        client = await run.connect()
        started_us = now_us()
        client.send(request(budget_ms=1_000))
        await wait_until(lambda: delayed.held)
        await asyncio.sleep(0.4)
        delayed.release()
        left_ms = 1_000 - (now_us() - started_us) / 1_000
        await wait_until(lambda: upstream.exchanges)
        assert sent_budget_ms(upstream.exchanges[0]) <= left_ms + 5
        client.close()


@on_event_loop
async def test_the_timeout_of_a_pipelined_request_runs_from_its_arrival() -> None:
    async def respond_slowly(exchange: Exchange) -> None:
        await asyncio.sleep(0.3)
        exchange.respond(http_response())

    async with scripted_server(respond_slowly) as upstream, running_gateway(configuration(upstream)) as run:
        client = await run.connect()
        started_us = now_us()
        client.send(request(budget_ms=400) + request(budget_ms=400) + request(budget_ms=400))
        statuses = [(await client.read_response()).status for _ in range(3)]
        elapsed_ms = (now_us() - started_us) / 1_000
        assert statuses[0] == 200
        assert elapsed_ms < 400 + 200, "the last response was too late"
        assert all(sent_budget_ms(exchange) <= 400 - 300 + SLACK_MS for exchange in upstream.exchanges[1:])
        client.close()
