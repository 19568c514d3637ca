"""The list of hosts: known from before, called for, watched, and its failures."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

import pytest

from sagetrack.discovery.endpoint_parsing import parse_endpoint_list
from sagetrack.policy.actions import FetchEndpoints, WatchEndpoints
from sagetrack.policy.events import EndpointList, ListKind, ServerStatus, TimerFired
from sagetrack.policy.timers import ENDPOINT_LIST_TOKEN
from tests.sockets import (
    Exchange,
    RunningGateway,
    Script,
    ScriptedServer,
    configuration,
    endpoint,
    endpoint_list,
    http_response,
    list_response,
    no_response,
    on_event_loop,
    request,
    respond_with,
    running_gateway,
    scripted_server,
    server_id,
    wait_until,
)


def lists(run: RunningGateway) -> list[EndpointList]:
    """What the module is told of the list from now on."""
    told: list[EndpointList] = []
    handle = run.gateway.balancer.handle

    def listen(now_us: int, event: object) -> object:
        if isinstance(event, EndpointList):
            told.append(event)
        return handle(now_us, event)  # type: ignore[arg-type]

    run.gateway.balancer.handle = listen  # type: ignore[method-assign,assignment]
    return told


def only_our_calls(run: RunningGateway) -> None:
    """Let the module's own times to ask pass by: no call is made but the test's."""
    handle = run.gateway.balancer.handle
    run.gateway.balancer.handle = lambda now_us, event: (  # type: ignore[method-assign]
        [] if event == TimerFired(ENDPOINT_LIST_TOKEN) else handle(now_us, event)
    )


def asked(registry: ScriptedServer) -> list[str]:
    return [exchange.message.start_line.split(" ")[1] for exchange in registry.exchanges]


def watcher(run: RunningGateway) -> None:
    run.gateway.executor.execute(WatchEndpoints())


@on_event_loop
async def test_a_watch_continues_from_its_version() -> None:
    news = [
        list_response(7, endpoint("s-0", "127.0.0.1:1")),
        list_response(8, endpoint("s-1", "127.0.0.1:1"), snapshot=False),
        list_response(8, snapshot=False),
        list_response(9, endpoint("s-0", "127.0.0.1:1", status="DELETED"), snapshot=False),
    ]

    def script(exchange: Exchange) -> None:
        if news:
            exchange.respond(news.pop(0))

    async with (
        scripted_server(script) as registry,
        running_gateway(configuration("127.0.0.1:1", discovery=registry.address)) as run,
    ):
        watcher(run)
        watcher(run)  # while it is on, another changes nothing
        await wait_until(lambda: len(registry.exchanges) == 5)
        # The whole list first; then each watch asks for a quarter of the grace for sending (1 s here).
        watches = [f"/registry/instances?from={n}&hold_ms=250" for n in (7, 8, 8, 9)]
        assert asked(registry) == ["/registry/instances", *watches]
        assert registry.opened_connections == 1
        assert set(run.assembly.pools.servers) == {server_id(1)} == set(run.gateway.balancer.servers)


@on_event_loop
async def test_a_stopped_watch_reports_nothing_more() -> None:
    async with (
        scripted_server(no_response) as registry,
        running_gateway(configuration("127.0.0.1:1", discovery=registry.address)) as run,
    ):
        watcher(run)
        await wait_until(lambda: registry.exchanges)
        told = lists(run)
        run.gateway.executor.execute(WatchEndpoints(False))
        await wait_until(lambda: registry.closed_connections == 1)
        assert not told and run.assembly.discovery.watch_task is None


@on_event_loop
async def test_a_complete_list_removes_what_it_does_not_name() -> None:
    listed = endpoint("s-1", "127.0.0.1:1", zone="b", group=3, since_ms=5, weight=2)
    async with scripted_server(respond_with(list_response(12, listed))) as registry:
        config = configuration("127.0.0.1:1", discovery=registry.address)
        config["settings"] |= {"membershipMode": "on_request", "contract": {}}
        async with running_gateway(config) as run:
            only_our_calls(run)
            told = lists(run)
            run.gateway.executor.execute(FetchEndpoints())
            await wait_until(lambda: told)
            assert asked(registry) == ["/registry/instances"]
            (event,) = told
            assert event.kind is ListKind.FULL
            (entry,) = event.servers
            assert (entry.zone, entry.group, entry.started_us, entry.weight) == (1, 3, 5_000, 2.0)
            assert set(run.assembly.pools.servers) == {server_id(1)}


def reset(exchange: Exchange) -> None:
    exchange.reset()


@pytest.mark.parametrize(
    "script",
    [
        reset,
        respond_with(http_response(503)),
        respond_with(http_response(200, b"not JSON")),
        respond_with(http_response(200, b"[]")),
        respond_with(http_response(200, b"{}")),
        respond_with(http_response(200, b'{"index":1,"endpoints":{}}')),
        respond_with(b"no HTTP\r\n\r\n"),
    ],
)
@on_event_loop
async def test_a_failed_call_is_reported_and_repeated_when_the_policy_says(script: Script) -> None:
    async with scripted_server(script) as registry:
        config = configuration("127.0.0.1:1", discovery=registry.address)
        config["settings"]["membershipMode"] = "on_request"  # the module asks, and asks again
        async with running_gateway(config) as run:
            told = lists(run)
            await wait_until(lambda: len(told) >= 2)
            assert {event.kind for event in told} == {ListKind.ERROR}
            assert set(run.assembly.pools.servers) == {server_id(0)}  # the old list stands
            registry.script = respond_with(list_response(9, endpoint("s-3", "127.0.0.1:1")))
            await wait_until(lambda: server_id(3) in run.assembly.pools.servers)
            registry.script = no_response


@on_event_loop
async def test_a_pushed_list_is_watched_from_the_start_and_again_after_a_failure() -> None:
    async with (
        scripted_server(reset) as registry,
        running_gateway(configuration("127.0.0.1:1", discovery=registry.address)) as run,
    ):
        await wait_until(lambda: len(registry.exchanges) >= 2)
        registry.script = respond_with(list_response(9, endpoint("s-3", "127.0.0.1:1")))
        await wait_until(lambda: server_id(3) in run.assembly.pools.servers)
        registry.script = no_response


@on_event_loop
async def test_invalid_entries_and_unknown_fields_are_tolerated() -> None:
    async with scripted_server() as upstream:
        good = endpoint("s-1", upstream.address, colour="red")
        bad: list[object] = [
            None,
            7,
            {},
            endpoint("", upstream.address),
            endpoint("s-2", "nowhere"),
            endpoint("s-2", "127.0.0.1:99999"),
            endpoint("s-2", upstream.address, status="NAPPING"),
            endpoint("s-2", upstream.address, weight="heavy"),
            endpoint("s-2", upstream.address, weight=-1),
            endpoint("s-2", upstream.address, since_ms="long ago"),
            {**endpoint("s-2", upstream.address), "name": ["s-2"]},
        ]
        text = json.dumps({"index": 9, "snapshot": True, "more": {}, "endpoints": [*bad, good]})
        script = respond_with(http_response(200, text.encode()))
        async with (
            scripted_server(script) as registry,
            running_gateway(configuration("127.0.0.1:1", discovery=registry.address)) as run,
        ):
            await wait_until(lambda: server_id(1) in run.assembly.pools.servers)
            registry.script = no_response
            assert set(run.assembly.pools.servers) == {server_id(1)}
            assert (await run.request(request())).status == 200


@on_event_loop
async def test_an_unusable_known_list_is_ignored() -> None:
    async with scripted_server(no_response) as registry:
        config = configuration(discovery=registry.address)
        config["known"] = {"index": "new", "endpoints": 3}
        async with running_gateway(config) as run:
            await wait_until(lambda: registry.exchanges)
            assert asked(registry) == ["/registry/instances"]
            assert not run.assembly.pools.servers
    await asyncio.sleep(0)


# Crossings: a watch falls silent, or another call's answer comes first. The grace for sending is 1 s here.


def drains(version: int) -> bytes:
    return list_response(version, endpoint("s-0", "127.0.0.1:1", status="DRAINING"))


def is_draining(run: RunningGateway) -> bool:
    known = run.gateway.balancer.servers.get(server_id(0))
    return known is not None and known.entry.status is ServerStatus.DRAINING


async def within_grace(run: RunningGateway, happened: Callable[[], object]) -> None:
    async with asyncio.timeout(run.gateway.settings.stop_sending_within_us / 1e6):
        await wait_until(happened)


@pytest.mark.parametrize("half", [b"", drains(9)[:40], drains(9)[:-20]])
@on_event_loop
async def test_a_silent_watch_is_reopened_within_the_grace(half: bytes) -> None:
    """Nothing comes, part of a head, or part of a list: the connection stays open and says no more."""

    def script(exchange: Exchange) -> None:
        if exchange.connection_number > 1:
            exchange.respond(drains(9))
        elif "from=" in exchange.message.start_line:
            exchange.respond(half)
        else:
            exchange.respond(list_response(8, endpoint("s-0", "127.0.0.1:1")))

    async with (
        scripted_server(script) as registry,
        running_gateway(configuration("127.0.0.1:1", discovery=registry.address)) as run,
    ):
        await wait_until(lambda: len(registry.exchanges) == 2)
        assert not is_draining(run)
        await within_grace(run, lambda: is_draining(run))
        assert registry.opened_connections == 2 and asked(registry)[2] == "/registry/instances"


@on_event_loop
async def test_a_reset_watch_is_reopened_at_once_and_a_silent_service_is_polled_often() -> None:
    """However long the service was away, what it has at its return is here within the grace."""
    back = False

    def script(exchange: Exchange) -> None:
        if back:
            exchange.respond(drains(9))
        elif exchange.connection_number == 2:
            exchange.reset()  # and from then on silence

    async with (
        scripted_server(respond_with(list_response(8, endpoint("s-0", "127.0.0.1:1")))) as registry,
        running_gateway(configuration("127.0.0.1:1", discovery=registry.address)) as run,
    ):
        registry.script = script
        await wait_until(lambda: registry.exchanges)
        registry.exchanges[-1].reset()
        await wait_until(lambda: registry.opened_connections >= 5)  # each given up in its turn
        assert not is_draining(run)
        back = True
        await within_grace(run, lambda: is_draining(run))


@on_event_loop
async def test_an_overtaken_response_does_not_undo_a_newer_one() -> None:
    """A whole list asked for before a withdrawal, and answered after word of it, is asked for again."""
    async with scripted_server(no_response) as registry:
        config = configuration("127.0.0.1:1", discovery=registry.address)
        config["settings"] |= {"membershipMode": "on_request"}
        async with running_gateway(config) as run:
            only_our_calls(run)
            run.gateway.executor.execute(FetchEndpoints())
            await wait_until(lambda: len(registry.exchanges) == 1)
            watcher(run)
            await wait_until(lambda: len(registry.exchanges) == 2)
            registry.exchanges[1].respond(drains(9))
            await wait_until(lambda: is_draining(run))
            told = lists(run)
            registry.exchanges[0].respond(list_response(8, endpoint("s-0", "127.0.0.1:1")))
            await wait_until(lambda: told)
            assert [event.kind for event in told] == [ListKind.ERROR] and is_draining(run)
            # Said again, it is what the service has: it may have begun to count anew.
            registry.script = respond_with(list_response(8, endpoint("s-0", "127.0.0.1:1")))
            run.gateway.executor.execute(FetchEndpoints())
            await wait_until(lambda: not is_draining(run))
            registry.script = no_response


@on_event_loop
async def test_no_client_is_served_before_the_first_list() -> None:
    """What this process was told at its start is old: a server of it may have left meanwhile."""
    asked_for = asyncio.Event()

    def script(exchange: Exchange) -> None:
        asked_for.set()
        if "from=" not in exchange.message.start_line:
            exchange.respond(drains(9))

    async with (
        scripted_server() as upstream,
        scripted_server(script) as registry,
        running_gateway(configuration(upstream, discovery=registry.address)) as run,
    ):
        assert asked_for.is_set() and is_draining(run)
        assert (await run.request(request())).status == 503 and not upstream.exchanges


@on_event_loop
async def test_a_withdrawal_counts_though_the_rest_of_the_entry_is_invalid() -> None:
    """A change that takes a server back counts, though the entry would be no use for sending there."""
    withdrawals: tuple[dict[str, object], ...] = (
        {"status": "DRAINING", "weight": 0.0},
        {"status": "DRAINING", "weight": None},
        {"status": "DELETED", "address": None},
        {"status": "DELETED", "address": "", "since_ms": "x"},
        {"status": "PAUSED"},  # a status that is not known here is no word that it serves
    )
    for entry in withdrawals:
        async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
            changes = endpoint_list(8, endpoint("s-0", upstream.address) | entry, snapshot=False)
            run.gateway.on_endpoint_list(
                ListKind.DELTA, parse_endpoint_list(changes, run.assembly.config.names).endpoints
            )
            assert (await run.request(request("transfer", b"x"))).status == 503, entry
            assert not upstream.exchanges


@on_event_loop
async def test_a_failure_while_a_failed_call_is_reported_does_not_end_the_watch() -> None:
    """Whoever hears of it may fail: the next call is set before."""
    async with (
        scripted_server(lambda exchange: exchange.reset()) as registry,
        running_gateway(configuration("127.0.0.1:1", discovery=registry.address)) as run,
    ):

        def fails(kind: ListKind, entries: object) -> None:
            raise RuntimeError("a planted fault")

        run.assembly.discovery.on_list = fails
        seen = len(registry.exchanges)
        await wait_until(lambda: len(registry.exchanges) >= seen + 3)
