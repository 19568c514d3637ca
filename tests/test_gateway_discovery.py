"""The endpoint list in a running gateway: restored, fetched and watched, and failures of discovery."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

import pytest

from sagetrack.core.deadlines import SILENT_WATCH_LIMIT_S
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


def record_list_events(run: RunningGateway) -> list[EndpointList]:
    """Return a list that collects the endpoint list events the load balancer receives from now on."""
    events: list[EndpointList] = []
    handle = run.gateway.balancer.handle

    def listen(now_us: int, event: object) -> object:
        if isinstance(event, EndpointList):
            events.append(event)
        return handle(now_us, event)  # type: ignore[arg-type]

    run.gateway.balancer.handle = listen  # type: ignore[method-assign,assignment]
    return events


def ignore_endpoint_list_timer(run: RunningGateway) -> None:
    """Make the load balancer ignore its poll timer, so that only the test makes calls."""
    handle = run.gateway.balancer.handle
    run.gateway.balancer.handle = lambda now_us, event: (  # type: ignore[method-assign]
        [] if event == TimerFired(ENDPOINT_LIST_TOKEN) else handle(now_us, event)
    )


def request_targets(registry: ScriptedServer) -> list[str]:
    return [exchange.message.start_line.split(" ")[1] for exchange in registry.exchanges]


def start_watch(run: RunningGateway) -> None:
    run.gateway.executor.execute(WatchEndpoints())


@on_event_loop
async def test_a_watch_continues_from_its_version() -> None:
    responses = [
        list_response(7, endpoint("s-0", "127.0.0.1:1")),
        list_response(8, endpoint("s-1", "127.0.0.1:1"), snapshot=False),
        list_response(8, snapshot=False),
        list_response(9, endpoint("s-0", "127.0.0.1:1", status="DELETED"), snapshot=False),
    ]

    def script(exchange: Exchange) -> None:
        if responses:
            exchange.respond(responses.pop(0))

    async with (
        scripted_server(script) as registry,
        running_gateway(configuration("127.0.0.1:1", discovery=registry.address)) as run,
    ):
        start_watch(run)
        start_watch(run)  # has no effect while the first one runs
        await wait_until(lambda: len(registry.exchanges) == 5)
        # The complete list first; then each long poll lasts a quarter of stopSendingWithinUs (1 s).
        watches = [f"/registry/instances?from={n}&hold_ms=250" for n in (7, 8, 8, 9)]
        assert request_targets(registry) == ["/registry/instances", *watches]
        assert registry.opened_connections == 1
        assert set(run.assembly.pools.servers) == {server_id(1)} == set(run.gateway.balancer.servers)


@on_event_loop
async def test_a_stopped_watch_reports_nothing_more() -> None:
    async with (
        scripted_server(no_response) as registry,
        running_gateway(configuration("127.0.0.1:1", discovery=registry.address)) as run,
    ):
        start_watch(run)
        await wait_until(lambda: registry.exchanges)
        events = record_list_events(run)
        run.gateway.executor.execute(WatchEndpoints(False))
        await wait_until(lambda: registry.closed_connections == 1)
        assert not events and run.assembly.discovery.watch_task is None


@on_event_loop
async def test_a_complete_list_removes_servers_that_it_does_not_contain() -> None:
    listed = endpoint("s-1", "127.0.0.1:1", zone="b", group=3, since_ms=5, weight=2)
    async with scripted_server(respond_with(list_response(12, listed))) as registry:
        config = configuration("127.0.0.1:1", discovery=registry.address)
        config["settings"] |= {"membershipMode": "on_request", "contract": {}}
        async with running_gateway(config) as run:
            ignore_endpoint_list_timer(run)
            events = record_list_events(run)
            run.gateway.executor.execute(FetchEndpoints())
            await wait_until(lambda: events)
            assert request_targets(registry) == ["/registry/instances"]
            (event,) = events
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
async def test_a_failed_call_is_reported_and_repeated_when_the_policy_requests_it(script: Script) -> None:
    async with scripted_server(script) as registry:
        config = configuration("127.0.0.1:1", discovery=registry.address)
        config["settings"]["membershipMode"] = "on_request"  # the load balancer requests and repeats calls
        async with running_gateway(config) as run:
            events = record_list_events(run)
            await wait_until(lambda: len(events) >= 2)
            assert {event.kind for event in events} == {ListKind.ERROR}
            assert set(run.assembly.pools.servers) == {server_id(0)}  # the previous list stays in use
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
            assert request_targets(registry) == ["/registry/instances"]
            assert not run.assembly.pools.servers
    await asyncio.sleep(0)


# A watch without a response, and responses that arrive out of order. stopSendingWithinUs is 1 s here.


def draining_list(version: int) -> bytes:
    return list_response(version, endpoint("s-0", "127.0.0.1:1", status="DRAINING"))


def is_draining(run: RunningGateway) -> bool:
    known = run.gateway.balancer.servers.get(server_id(0))
    return known is not None and known.entry.status is ServerStatus.DRAINING


async def within_grace_period(run: RunningGateway, condition: Callable[[], object]) -> None:
    async with asyncio.timeout(run.gateway.settings.stop_sending_within_us / 1e6):
        await wait_until(condition)


@pytest.mark.parametrize("partial", [b"", draining_list(9)[:40], draining_list(9)[:-20]])
@on_event_loop
async def test_a_silent_watch_is_reopened_within_the_grace_period(partial: bytes) -> None:
    """The service sends nothing, part of a head or part of a list, and keeps the connection open."""

    def script(exchange: Exchange) -> None:
        if exchange.connection_number > 1:
            exchange.respond(draining_list(9))
        elif "from=" in exchange.message.start_line:
            exchange.respond(partial)
        else:
            exchange.respond(list_response(8, endpoint("s-0", "127.0.0.1:1")))

    async with (
        scripted_server(script) as registry,
        running_gateway(configuration("127.0.0.1:1", discovery=registry.address)) as run,
    ):
        await wait_until(lambda: len(registry.exchanges) == 2)
        assert not is_draining(run)
        await within_grace_period(run, lambda: is_draining(run))
        assert registry.opened_connections == 2 and request_targets(registry)[2] == "/registry/instances"


@on_event_loop
async def test_a_reset_watch_is_reopened_immediately_and_a_silent_service_is_polled_often() -> None:
    """After any outage, a change that the service has when it recovers arrives within the grace period."""
    back = False

    def script(exchange: Exchange) -> None:
        if back:
            exchange.respond(draining_list(9))
        elif exchange.connection_number == 2:
            exchange.reset()  # later requests get no response

    async with (
        scripted_server(respond_with(list_response(8, endpoint("s-0", "127.0.0.1:1")))) as registry,
        running_gateway(configuration("127.0.0.1:1", discovery=registry.address)) as run,
    ):
        registry.script = script
        await wait_until(lambda: registry.exchanges)
        registry.exchanges[-1].reset()
        await wait_until(lambda: registry.opened_connections >= 5)  # each connection timed out
        assert not is_draining(run)
        back = True
        await within_grace_period(run, lambda: is_draining(run))


@on_event_loop
async def test_an_overtaken_response_does_not_undo_a_newer_one() -> None:
    """A complete list from before a withdrawal that arrives after it is rejected and requested again."""
    async with scripted_server(no_response) as registry:
        config = configuration("127.0.0.1:1", discovery=registry.address)
        config["settings"] |= {"membershipMode": "on_request"}
        async with running_gateway(config) as run:
            ignore_endpoint_list_timer(run)
            run.gateway.executor.execute(FetchEndpoints())
            await wait_until(lambda: len(registry.exchanges) == 1)
            start_watch(run)
            await wait_until(lambda: len(registry.exchanges) == 2)
            registry.exchanges[1].respond(draining_list(9))
            await wait_until(lambda: is_draining(run))
            events = record_list_events(run)
            registry.exchanges[0].respond(list_response(8, endpoint("s-0", "127.0.0.1:1")))
            await wait_until(lambda: events)
            assert [event.kind for event in events] == [ListKind.ERROR] and is_draining(run)
            # The repeated older version is accepted: the service may have restarted its numbering.
            registry.script = respond_with(list_response(8, endpoint("s-0", "127.0.0.1:1")))
            run.gateway.executor.execute(FetchEndpoints())
            await wait_until(lambda: not is_draining(run))
            registry.script = no_response


@on_event_loop
async def test_clients_are_served_only_after_the_first_call_to_discovery() -> None:
    """The configured list may be outdated: one of its servers may have been withdrawn meanwhile."""
    was_called = asyncio.Event()

    def script(exchange: Exchange) -> None:
        was_called.set()
        if "from=" not in exchange.message.start_line:
            exchange.respond(draining_list(9))

    async with (
        scripted_server() as upstream,
        scripted_server(script) as registry,
        running_gateway(configuration(upstream, discovery=registry.address)) as run,
    ):
        assert was_called.is_set() and is_draining(run)
        assert (await run.request(request())).status == 503 and not upstream.exchanges


@on_event_loop
async def test_a_withdrawal_takes_effect_although_the_rest_of_the_entry_is_invalid() -> None:
    """An entry that withdraws a server takes effect even if its other fields are unusable."""
    withdrawals: tuple[dict[str, object], ...] = (
        {"status": "DRAINING", "weight": 0.0},
        {"status": "DRAINING", "weight": None},
        {"status": "DELETED", "address": None},
        {"status": "DELETED", "address": "", "since_ms": "x"},
        {"status": "PAUSED"},  # an unknown status counts as a withdrawal
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
    """The next call is scheduled before the report, as the code that handles the report may raise."""
    async with (
        scripted_server(lambda exchange: exchange.reset()) as registry,
        running_gateway(configuration("127.0.0.1:1", discovery=registry.address)) as run,
    ):

        def fails(kind: ListKind, entries: object) -> None:
            raise RuntimeError("a planted fault")

        run.assembly.discovery.on_list = fails
        seen = len(registry.exchanges)
        await wait_until(lambda: len(registry.exchanges) >= seen + 3)


def reset_first_then_respond_late(delay_s: float, data: bytes) -> Script:
    """Return a script that resets its first connection, and then sends the same data after a delay."""
    is_first = True

    async def script(exchange: Exchange) -> None:
        nonlocal is_first
        if is_first:
            is_first = False
            exchange.reset()
            return
        await asyncio.sleep(delay_s)
        exchange.respond(data)

    return script


# Guards against never hearing a discovery service that takes longer than the time limit of a call.
@on_event_loop
async def test_changes_of_a_slow_service_are_received_although_each_call_exceeds_its_limit() -> None:
    serving = endpoint("s-0", "127.0.0.1:1")
    draining = list_response(9, endpoint("s-0", "127.0.0.1:1", status="DRAINING"))
    async with scripted_server(respond_with(list_response(8, serving))) as discovery:
        config = configuration("127.0.0.1:1", discovery=discovery.address)
        config["settings"]["membershipMode"] = "on_request"
        async with running_gateway(config) as run:
            limit_s = run.assembly.discovery.limits.response_timeout_s
            grace_s = run.gateway.settings.stop_sending_within_us / 1e6
            run.gateway.executor.execute(WatchEndpoints())
            await wait_until(lambda: run.assembly.discovery.version == 8)
            discovery.script = reset_first_then_respond_late(1.5 * limit_s, draining)
            loop = asyncio.get_running_loop()
            changed_s = loop.time()
            known = run.gateway.balancer.servers[server_id(0)]
            await wait_until(lambda: known.entry.status is ServerStatus.DRAINING)
            assert loop.time() - changed_s < SILENT_WATCH_LIMIT_S + grace_s
            counts = run.assembly.discovery.history.counts.metric_values()
            assert any("late" in name and count > 0 for name, count in counts.items())


@on_event_loop
async def test_a_late_response_does_not_undo_a_newer_one() -> None:
    serving = endpoint("s-0", "127.0.0.1:1")
    draining = endpoint("s-0", "127.0.0.1:1", status="DRAINING")
    late = asyncio.Event()

    async def first_late(exchange: Exchange) -> None:
        if len(discovery.exchanges) == 1:
            await late.wait()
            exchange.respond(list_response(8, serving))
        elif len(discovery.exchanges) == 2:
            exchange.respond(list_response(9, draining))

    async with scripted_server(first_late) as discovery:
        config = configuration("127.0.0.1:1", discovery=discovery.address)
        config["settings"]["membershipMode"] = "on_request"
        async with running_gateway(config) as run:
            client = run.assembly.discovery
            run.gateway.executor.execute(WatchEndpoints())
            await wait_until(lambda: client.version == 9)
            late.set()
            await wait_until(lambda: discovery.closed_connections)
            assert run.gateway.balancer.servers[server_id(0)].entry.status is ServerStatus.DRAINING
            assert client.version == 9
