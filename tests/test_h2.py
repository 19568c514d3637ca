"""The newer format: values, translation both ways, how streams end, and whole calls over sockets."""

from __future__ import annotations

import asyncio
import random
import ssl
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
import trustme
from hypothesis import given
from hypothesis import strategies as st

from sagetrack.config.errors import FileError
from sagetrack.config.operator import load as load_operator
from sagetrack.config.platform import ConfigError, parse
from sagetrack.core.bodies import BodyMemoryBudget, StreamedBody
from sagetrack.core.endpoints import Endpoint
from sagetrack.core.interfaces import Call
from sagetrack.core.responses import Response
from sagetrack.core.send_rules import ServerState
from sagetrack.grpc import outcomes
from sagetrack.grpc.fuzz import fuzz, fuzz_front
from sagetrack.grpc.messages import LIMIT, MessageError, Unpacker, pack
from sagetrack.grpc.metadata import TranslationError, binary, from_binary, timeout_header, timeout_us
from sagetrack.grpc.mirroring import Report, difference
from sagetrack.grpc.outcomes import Reset, Status
from sagetrack.grpc.protocol_router import Mixed
from sagetrack.grpc.tls import Keys, KeysError
from sagetrack.grpc.translate import from_new, to_new, to_new_answer, to_old, untranslatable
from sagetrack.grpc.upstream import Line, NewPools
from sagetrack.http1.connection_pool import ConnectionPools
from sagetrack.http1.upstream_connection import Message
from sagetrack.lab.grpc_server import Asked, NewConnection
from sagetrack.lab.scripted import peer
from sagetrack.policy.actions import SendAttempt
from sagetrack.policy.events import (
    AttemptEnded,
    EndpointList,
    ListedServer,
    ListKind,
    Outcome,
    RequestArrived,
    ServerStatus,
    TrafficShift,
)
from sagetrack.policy.load_balancer import LoadBalancer
from sagetrack.policy.migration import MIN_OUTCOMES, RAMP_STEP_US, Migration
from sagetrack.policy.settings import Effect, RequestClass
from tests.sockets import configuration, on_loop, request, running, until

SETTINGS = parse(configuration("127.0.0.1:9")).settings
HEAD = b"POST /hold/7 HTTP/1.1\r\nHost: old\r\nX-Call-Id: a1\r\nX-Call-Class: hold\r\nX-CaLLer: acme\r\n"


@given(st.integers(1, 10**15))
def test_a_time_out_has_eight_digits_and_is_never_longer_than_it_was(us: int) -> None:
    text = timeout_header(us)
    assert (len(text) <= 9 and us * 0.98 - 1_000_000 <= timeout_us(text) <= us) or us >= 99_999_999 * 10**6


@pytest.mark.parametrize("text", ["", "5", "123456789S", "5x", "-1S", "1.5S", "\u0663S"])
def test_a_time_out_that_is_none_is_named(text: str) -> None:
    with pytest.raises(TranslationError):
        timeout_us(text)


@given(st.binary(max_size=255))
def test_binary_values_come_back_with_and_without_padding(value: bytes) -> None:
    assert from_binary(binary(value)) == value
    assert from_binary(binary(value) + "=" * (-len(binary(value)) % 4)) == value


NAMES = st.text("abcXYZ019-_.!#$%&'*+^`|~", min_size=1, max_size=20).map(lambda n: b"X-T-" + n.encode())
VALUES = st.binary(max_size=60).map(
    lambda v: bytes(b for b in v if b == 9 or 32 <= b < 127 or b >= 128).strip(b" \t")
)


@given(
    st.lists(st.tuples(NAMES, VALUES), max_size=12),
    st.binary(max_size=300),
    st.binary(min_size=1, max_size=255).map(lambda v: bytes(33 + b % 94 for b in v)),
    st.text("abc/%20?=&~", max_size=40),
)
def test_any_call_comes_through_both_ways_as_it_was(
    fields: list[tuple[bytes, bytes]], body: bytes, key: bytes, tail: str
) -> None:
    lines = [*fields, (b"Idempotency-KEY", key)]
    head = HEAD.replace(b"/hold/7", b"/hold/" + tail.encode())
    head += b"".join(b"%s: %s\r\n" % line for line in lines)
    headers, message = to_new(head, body, None, 1_500_000, "h:1")
    said = dict(headers)
    assert said["grpc-timeout"] == "1500000u" and said["x-caller"] == "acme" and said["x-call-id"] == "a1"
    assert from_binary(said["idempotency-key-bin"]) == key
    again, same, length, budget = from_new(headers, message)
    assert again == head + b"Content-Length: %d\r\n" % len(body)
    assert (same, length, budget) == (body, None, 1_500_000)
    answer, _ = to_old(to_new_answer(fields, body))
    assert (answer.headers, answer.body) == (fields, body)


def test_a_key_of_255_bytes_with_every_printable_character_is_exact() -> None:
    key = (bytes(range(33, 127)) * 3)[:255]
    headers, message = to_new(HEAD + b"Idempotency-Key: %s\r\n" % key, b"", None, 1, "h")
    assert b"Idempotency-Key: " + key in from_new(headers, message)[0]


@pytest.mark.parametrize(
    ("line", "named"),
    [(b"X-Caller: \xe9\r\n", "X-Caller"), (b"X-Odd: a\x01\r\n", "X-Odd"), (b"no colon\r\n", "no colon")],
)
def test_what_cannot_pass_is_named(line: bytes, named: str) -> None:
    why = untranslatable(HEAD + line)
    assert why is not None and named in why and untranslatable(HEAD) is None


@pytest.mark.parametrize(
    "message",
    [b"\xff\xff", to_new_answer([(b"bad name", b"x")], b""), to_new_answer([(b"a", b"x\r\n")], b"")],
)
def test_an_answer_without_counterpart_is_refused(message: bytes) -> None:
    with pytest.raises(TranslationError):
        to_old(message)


@given(st.lists(st.binary(max_size=50), max_size=6), st.integers(1, 20))
def test_messages_come_out_of_pieces_of_any_size(messages: list[bytes], size: int) -> None:
    data, unpacker = b"".join(map(pack, messages)), Unpacker()
    found = [m for at in range(0, len(data), size) for m in unpacker.feed(data[at : at + size])]
    assert found == messages and not unpacker.rest


@pytest.mark.parametrize("data", [b"\1\0\0\0\1x", b"\0" + (LIMIT + 1).to_bytes(4)])
def test_compressed_and_oversized_messages_are_not_held(data: bytes) -> None:
    with pytest.raises(MessageError):
        list(Unpacker().feed(data))


def test_the_table_of_outcomes() -> None:
    for status in [*Status, None, 99]:
        for whole in (True, False):
            for rejected in (True, False):
                expected = Outcome.ERROR
                if status == Status.OK and whole:
                    expected = Outcome.OK
                elif status in (8, 14) and rejected and not whole:
                    expected = Outcome.REJECTED
                assert outcomes.of_status(status, whole, rejected) is expected
    for code in [*Reset, 99]:
        refused = code == Reset.REFUSED_STREAM
        assert outcomes.of_reset(code, True) is (Outcome.REJECTED if refused else Outcome.RESET)
        assert outcomes.of_reset(code, False) is (Outcome.REJECTED if refused else Outcome.ERROR)
    assert outcomes.of_goaway(5, 3) is Outcome.NOT_SENT and outcomes.of_goaway(3, 3) is None
    assert (outcomes.of_loss(True), outcomes.of_loss(False)) == (Outcome.RESET, Outcome.CONNECT_FAILED)
    assert (outcomes.of_deadline(True), outcomes.of_deadline(False)) == (
        Outcome.TIMEOUT,
        Outcome.CONNECT_FAILED,
    )


def test_a_share_moves_by_weight_and_goes_back_when_the_newer_format_fails() -> None:
    move, now = Migration(0.25), 1_000_000
    old, new = move.weight_factors(now, 6.0, 2.0)
    assert 2.0 * new / (6.0 * old + 2.0 * new) == pytest.approx(0.25)
    assert move.weight_factors(now, 0.0, 2.0) == (1.0, 1.0)  # nothing else is there
    for _ in range(200):
        assert not move.record(False, False, now)
    left = [move.record(True, n % 3 == 0, now) for n in range(3 * MIN_OUTCOMES)]
    assert (
        left.count(True) == 1
        and move.ramp_fraction(now) == 0.0
        and move.weight_factors(now, 6.0, 2.0)[1] < 1e-5
    )
    back = move.fallback_until_us
    parts = [move.ramp_fraction(back + n * RAMP_STEP_US) for n in range(5)]
    assert parts == sorted(parts) and parts[0] == 0.1 and parts[-1] == 1.0
    equal = Migration(0.25)
    draw = random.Random(1)
    assert not any(equal.record(bool(n % 2), draw.random() < 0.2, now) for n in range(4000))  # in common


# Over sockets


class Heard:
    """A watcher that keeps what it hears."""

    def __init__(self, pauses: bool = False) -> None:
        self.pauses = pauses
        self.written = 0
        self.ends: list[tuple[Outcome, Response | None]] = []
        self.head: Response | None = None
        self.pieces: list[bytes] = []
        self.source: Any = None

    def may_begin(self, server: ServerState) -> bool:
        return server is ServerState.SERVING

    def on_first_byte(self) -> None:
        """Of no concern here."""

    def on_request_sent(self) -> None:
        self.written += 1

    def on_response_started(self, attempt: Any, head: Any, source: Any) -> None:
        self.head, self.source = head, source
        if self.pauses:
            source.pause()

    def on_response_data(self, attempt: Any, data: bytes) -> None:
        self.pieces.append(data)

    def on_attempt_ended(self, attempt: Any, outcome: Outcome, answer: Any, load: Any) -> None:
        self.ends.append((outcome, answer))


class Rig:
    """Pools of the newer format and one stand-in server."""

    def __init__(self, pools: NewPools, entry: Endpoint) -> None:
        self.pools, self.entry = pools, entry
        self.connections: list[NewConnection] = []
        self.asked: list[tuple[NewConnection, Asked]] = []

    def ask(
        self,
        body: bytes = b"",
        streamed_body: StreamedBody | None = None,
        wait_us: int = 10_000_000,
        pauses: bool = False,
    ) -> Heard:
        heard = Heard(pauses)
        call = Call("a", 0, wait_us, None, None, False, 0, Message(HEAD, body), None, streamed_body)  # type: ignore[arg-type]
        self.pools.begin(call, 1, wait_us, heard)
        return heard

    @property
    def line(self) -> Line:
        return self.pools.hosts[1].lines[0]

    async def until_asked(self, count: int) -> None:
        await until(lambda: len(self.asked) >= count)


@asynccontextmanager
async def rigged(
    most: int = 100,
    on_call: Callable[[NewConnection, Asked], None] | None = None,
    keys: tuple[ssl.SSLContext, Callable[[], ssl.SSLContext | None]] | None = None,
) -> AsyncIterator[Rig]:
    rig: Rig

    def make() -> NewConnection:
        take = on_call or (lambda connection, asked: rig.asked.append((connection, asked)))
        connection = NewConnection(take, most)
        rig.connections.append(connection)
        return connection

    loop = asyncio.get_running_loop()
    server = await loop.create_server(make, "127.0.0.1", 0, ssl=keys[0] if keys else None)
    place = server.sockets[0].getsockname()
    pools = NewPools(SETTINGS, keys[1] if keys else lambda: None)
    rig = Rig(pools, Endpoint("n", ("127.0.0.1", place[1]), ListedServer(1)))
    pools.put(rig.entry)
    try:
        yield rig
    finally:
        pools.close()
        server.close()


@on_loop
async def test_many_streams_share_a_connection_and_a_slow_one_holds_none_back() -> None:
    async with rigged() as rig:
        calls = [rig.ask(b"b%d" % n) for n in range(40)]
        await rig.until_asked(40)
        assert len(rig.connections) == 1
        for connection, asked in rig.asked[1:]:
            connection.answer(asked, body=asked.body)
        await until(lambda: sum(len(c.ends) for c in calls) == 39)
        bodies = {c.ends[0][1].body for c in calls if c.ends and c.ends[0][1]}
        assert bodies == {b"b%d" % n for n in range(1, 40)} and not calls[0].ends


@on_loop
async def test_goaway_in_the_middle_of_streams_ends_those_above_as_never_run() -> None:
    async with rigged() as rig:
        calls = [rig.ask() for _ in range(100)]
        await rig.until_asked(100)
        rig.connections[0].goaway(last=99)
        await until(lambda: sum(len(c.ends) for c in calls) == 50)
        assert {c.ends[0][0] for c in calls[50:]} == {Outcome.NOT_SENT}
        later = rig.ask()
        await until(lambda: len(rig.connections) == 2)
        for connection, asked in rig.asked[:50]:
            connection.answer(asked)
        await until(lambda: all(c.ends for c in calls))
        assert {c.ends[0][0] for c in calls[:50]} == {Outcome.OK}
        await until(lambda: rig.connections[0].transport is None)  # it left once all was answered
        assert not later.ends


@on_loop
async def test_each_way_a_stream_can_end_is_told_and_the_others_go_on() -> None:
    async with rigged() as rig:
        ways: list[tuple[Callable[[NewConnection, Asked], None], Outcome]] = [
            (lambda c, a: c.reset(a, Reset.REFUSED_STREAM), Outcome.REJECTED),
            (lambda c, a: c.reset(a, Reset.INTERNAL_ERROR), Outcome.RESET),
            (lambda c, a: c.trailers_only(a, 8, x_rejected="1"), Outcome.REJECTED),
            (lambda c, a: c.trailers_only(a, 8), Outcome.ERROR),
            (lambda c, a: c.trailers_only(a, 0), Outcome.ERROR),
            (lambda c, a: c.answer(a, fields=[]), Outcome.OK),
        ]
        kept = rig.ask()
        await rig.until_asked(1)
        for number, (way, outcome) in enumerate(ways):
            heard = rig.ask()
            await rig.until_asked(number + 2)
            way(*rig.asked[-1])
            await until(lambda heard=heard: heard.ends)  # type: ignore[misc]
            assert heard.ends[0][0] is outcome, number
        assert not kept.ends and len(rig.connections) == 1
        transport = rig.connections[0].transport
        assert transport is not None
        transport.abort()
        await until(lambda: kept.ends)
        assert kept.ends == [(Outcome.RESET, None)]


@on_loop
async def test_settings_that_lower_the_streams_are_kept_to_and_further_calls_get_other_connections() -> None:
    async with rigged(most=3) as rig:
        first = [rig.ask()]
        await rig.until_asked(1)
        calls = first + [rig.ask() for _ in range(5)]
        await rig.until_asked(6)
        assert len(rig.connections) == 2
        assert all(len(connection.asked) <= 3 for connection in rig.connections)
        for connection, asked in rig.asked:
            connection.answer(asked)
        await until(lambda: all(c.ends for c in calls))
        assert {c.ends[0][0] for c in calls} == {Outcome.OK}


@on_loop
async def test_a_window_that_never_opens_holds_up_one_call_until_its_time_is_over() -> None:
    async with rigged() as rig:
        await warmed(rig)
        rig.connections[0].opens_windows = False
        stuck = rig.ask(b"x" * 200_000, wait_us=300_000)
        await until(lambda: stuck.ends)
        assert stuck.ends[0][0] is Outcome.TIMEOUT and not stuck.written


async def warmed(rig: Rig) -> None:
    heard = rig.ask()
    await rig.until_asked(1)
    rig.asked[0][0].answer(rig.asked[0][1])
    await until(lambda: heard.ends)


@on_loop
async def test_long_bodies_pass_in_bounded_memory_both_ways() -> None:
    size = 3_000_000
    async with rigged(on_call=lambda c, a: c.answer(a, body=a.body, parts=30)) as rig:
        streamed_body = StreamedBody(size, BodyMemoryBudget(64))
        heard = rig.ask(streamed_body=streamed_body)
        fed = most = 0
        while fed < size:
            await until(lambda: not streamed_body.is_full)
            streamed_body.feed(b"z" * 50_000)
            fed += 50_000
            most = max(most, streamed_body.buffered)
        streamed_body.complete()
        await until(lambda: heard.head is not None)
        heard.source.pause()
        for _ in range(50):
            await asyncio.sleep(0)
        assert sum(map(len, heard.pieces)) < 1_000_000  # the server's window has closed
        heard.source.resume()
        await until(lambda: heard.ends)
        assert heard.head is not None and heard.head.length == size
        assert sum(map(len, heard.pieces)) == size and heard.ends[0][0] is Outcome.OK and most <= 200_000


@on_loop
async def test_clients_that_read_nothing_do_not_hold_back_the_others_of_a_connection() -> None:
    def take(connection: NewConnection, asked: Asked) -> None:
        connection.answer(asked, body=b"y" * (1_000_000 if asked.body == b"long" else 10), parts=20)

    async with rigged(on_call=take) as rig:
        stuck = [rig.ask(b"long", pauses=True) for _ in range(90)]
        await until(lambda: all(heard.source is not None for heard in stuck))
        other = rig.ask()
        await until(lambda: other.ends)
        assert other.ends[0][0] is Outcome.OK and len(rig.connections) == 1
        assert max(sum(map(len, heard.pieces)) for heard in stuck) < 200_000
        for heard in stuck:
            heard.source.resume()
        await until(lambda: all(heard.ends for heard in stuck))
        assert {sum(map(len, heard.pieces)) for heard in stuck} == {1_000_000}


@on_loop
async def test_a_draining_or_gone_server_gets_nothing_after_the_grace() -> None:
    async with rigged() as rig:
        await warmed(rig)
        rig.pools.settings = replace(SETTINGS, stop_sending_within_us=0)
        draining = ListedServer(1, ServerStatus.DRAINING)
        rig.pools.put(Endpoint("n", rig.entry.address, draining))
        await asyncio.sleep(0.001)
        assert rig.ask().ends[0][0] is Outcome.NOT_SENT and len(rig.asked) == 1


@on_loop
async def test_a_flood_of_pings_ends_the_connection_with_the_right_error() -> None:
    async with rigged() as rig:
        heard = rig.ask()
        await rig.until_asked(1)
        transport = rig.connections[0].transport
        assert transport is not None
        transport.write((b"\0\0\x08\x06\0\0\0\0\0" + bytes(8)) * 2000)
        await until(lambda: heard.ends)
        assert heard.ends[0][0] is Outcome.RESET and not rig.pools.hosts[1].lines


@on_loop
async def test_a_server_that_is_not_there_fails_to_connect() -> None:
    async with rigged() as rig:
        rig.pools.put(Endpoint("n", ("127.0.0.1", 1), ListedServer(1, started_us=5)))
        heard = rig.ask()
        await until(lambda: heard.ends)
        assert heard.ends[0][0] is Outcome.CONNECT_FAILED


@on_loop
async def test_keys_are_checked_renewed_and_kept_when_bad(tmp_path: Path) -> None:
    authority = trustme.CA()
    paths = {name: str(tmp_path / name) for name in ("ca", "cert", "key")}
    authority.cert_pem.write_to_path(paths["ca"])
    ours = authority.issue_cert("gateway")
    ours.cert_chain_pems[0].write_to_path(paths["cert"])
    ours.private_key_pem.write_to_path(paths["key"])
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    server.set_alpn_protocols(["h2"])
    server.verify_mode = ssl.CERT_REQUIRED
    authority.issue_cert("127.0.0.1").configure_cert(server)
    authority.configure_trust(server)
    keys = Keys(paths["ca"], paths["cert"], paths["key"])
    assert keys.figures()["new_certificate_days"] > 1
    async with rigged(keys=(server, lambda: keys.context)) as rig:
        await warmed(rig)
        Path(paths["key"]).write_text("no key")
        before = keys.context
        with pytest.raises(KeysError, match="cert with"):
            keys.renew()
        assert keys.context is before and not rig.line.over
        stranger = trustme.CA()
        stranger.cert_pem.write_to_path(paths["ca"])
        other = Keys(paths["ca"])
        rig.pools.secure = lambda: other.context
        rig.line.leaving = True
        heard = rig.ask()
        await until(lambda: heard.ends)
        assert heard.ends[0][0] is Outcome.CONNECT_FAILED


@on_loop
async def test_an_old_client_is_served_by_a_new_server_and_told_what_cannot_pass(tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    file.write_text('[newer]\ntypes = ["v2"]\n')
    seen: list[Asked] = []

    def take(connection: NewConnection, asked: Asked) -> None:
        seen.append(asked)
        connection.answer(asked, body=b"new " + asked.body)

    async with rigged(on_call=take) as rig:
        config = configuration(f"127.0.0.1:{rig.entry.address[1]}")
        config["known"]["endpoints"][0]["type"] = "v2"
        async with running(config, load_operator(str(file))) as gateway:
            answer = await gateway.ask(request("hold", b"old body"))
            assert (answer.status, answer.body) == (200, b"new old body")
            assert seen[0].headers["x-call-class"] == "hold" and "idempotency-key-bin" in seen[0].headers
            odd = await gateway.ask(request(x_call_cost="5", x_again="\x80"))
            assert odd.status == 400 and b"x-again" in odd.body.lower()
            assert "svc_new_streams_total 1\n" in gateway.server.stats()


def test_the_operators_file_is_checked(tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    file.write_text('[newer]\nshare = 0.5\ntls = true\nkey = "k"\n')
    with pytest.raises(FileError) as error:
        load_operator(str(file))
    assert len(error.value.faults) == 3
    file.write_text('[newer]\ntypes = ["v2"]\ntls = true\nca = "/none/ca.pem"\n')
    with pytest.raises(KeysError, match="/none/ca.pem"):
        Keys(load_operator(str(file)).newer.ca)


@on_loop
async def test_a_header_that_is_no_utf_8_breaks_nothing() -> None:
    async with rigged() as rig:
        heard = rig.ask()
        await rig.until_asked(1)
        connection, asked = rig.asked[0]
        head: Any = [(b":status", b"200"), (b"content-type", b"appl\xe9"), (b"grpc-status", b"13")]
        connection.h2.send_headers(asked.stream, head, end_stream=True)
        connection.flush()
        await until(lambda: heard.ends)
        assert heard.ends[0][0] is Outcome.ERROR and not rig.line.over


def test_mutated_frames_of_a_fixed_seed_break_nothing() -> None:
    found = fuzz(3000, 3)
    assert not found.wrong and found.closed > 100 and found.answered > 100
    found = fuzz_front(3000, 3)
    assert not found.wrong and found.closed > 10 and found.answered > 50


def test_a_member_and_a_class_have_shares_of_their_own_and_a_copy_one_format_alone() -> None:
    kinds = tuple(RequestClass(1_000_000, 3_000_000, effect=Effect.SAFE) for _ in range(2))
    move = Migration(0.5, {1: 0.1}, {1: 1.0})
    settings = replace(SETTINGS, classes=kinds, grpc_kinds=frozenset({7}), max_concurrency=1000.0)
    balancer = LoadBalancer(settings, 1)
    old, new = move.weight_factors(0, 4.0, 4.0)
    servers = tuple(ListedServer(n, weight=new if n % 2 else old, kind=7 if n % 2 else 0) for n in range(8))
    balancer.handle(0, EndpointList(ListKind.FULL, servers))
    balancer.handle(0, TrafficShift(*move.override_factors(0, 4.0, 4.0)))

    def newer(klass: int, tenant: int, mirror_target: int = -1) -> float:
        hits = 0
        for n in range(400):
            now, name = n * 20_000, f"{klass}{tenant}{mirror_target}{n}"
            event = RequestArrived(
                name,
                klass,
                3_000_000,
                tenant=tenant,
                mirror_target=mirror_target,
                is_retry=mirror_target >= 0,
            )
            (sent,) = [a for a in balancer.handle(now, event) if isinstance(a, SendAttempt)]
            hits += sent.server % 2
            balancer.handle(now + 5, AttemptEnded(name, 0, sent.server, Outcome.OK, 5, True))
        return hits / 400

    assert newer(0, 0) == pytest.approx(0.5, abs=0.2) and newer(1, 0) < 0.25 and newer(1, 1) == 1.0
    assert newer(0, 1, mirror_target=0) == 0.0 and newer(1, 0, mirror_target=1) == 1.0
    balancer.shedder.shed_fraction = 0.5  # something is refused: a copy is the first
    assert not any(
        isinstance(a, SendAttempt)
        for a in balancer.handle(9, RequestArrived("z", 0, 9_000_000, mirror_target=1))
    )


def test_answers_differ_by_status_header_or_body_and_not_by_what_is_of_the_way() -> None:
    one = Response(200, [(b"X-A", b"1"), (b"Date", b"now")], b"b", True)
    assert difference(one, Response(200, [(b"x-a", b"1"), (b"date", b"then")], b"b", False)) is None
    assert difference(one, Response(200, [(b"X-A", b"2")], b"b", True)) == "header x-a"
    assert difference(one, Response(404, [(b"X-A", b"1")], b"b", True)) == "status 200 404"
    assert difference(one, Response(200, [(b"X-A", b"1")], b"c", True)) == "body"
    report = Report(most=1)
    assert report.enter(0, "body", 0) and not report.enter(0, "body", 1) and report.enter(0, "status 1 2", 2)
    assert report.different == {(0, "body"): 2, (0, "other"): 1}


@on_loop
async def test_answers_of_both_formats_are_compared_and_shares_change_on_sighup(tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    file.write_text('[newer]\ntypes = ["v2"]\nshare = 0.0\ncompare_per_s = 1000.0\n')
    seen: list[str] = []

    def take(connection: NewConnection, asked: Asked) -> None:
        seen.append(asked.headers["x-call-class"])
        connection.answer(asked, body=b"other")

    async with rigged(on_call=take) as rig, peer() as host:
        config = configuration(host, f"127.0.0.1:{rig.entry.address[1]}")
        config["known"]["endpoints"][1]["type"] = "v2"
        async with running(config, load_operator(str(file))) as gateway:
            upstreams = gateway.instance.grpc_upstreams
            assert upstreams is not None and upstreams.mirror is not None
            assert (await gateway.ask(request("hold", b"keyed"))).status == 200
            assert (await gateway.ask(request("search"))).status == 200
            report = upstreams.mirror.report
            await until(lambda: report.different)
            assert seen == ["search"] and report.asked == 1  # what changes something is never copied
            assert "svc_new_differs_search_total 1\n" in gateway.server.stats()
            assert 'answered_total{group="search"} 1\n' in gateway.server.stats()
            file.write_text('[newer]\ntypes = ["v2"]\nshare = 1.0\nshare_by_class = { search = 0.0 }\n')
            gateway.instance.apply_operator(parse(config), load_operator(str(file)))
            answers = [await gateway.ask(request("hold", b"k")), await gateway.ask(request("search"))]
            assert [a.body for a in answers] == [b"other", answers[1].body] and answers[1].body != b"other"
            file.write_text('[newer]\ntypes = ["v2"]\nshare_by_member = { nobody = 0.5 }\n')
            with pytest.raises(ConfigError, match="no member 'nobody'; there are acme, zeta"):
                gateway.instance.apply_operator(parse(config), load_operator(str(file)))


def test_a_server_that_changes_its_format_leaves_the_side_that_it_was_on() -> None:
    async def play() -> None:
        old, new = ConnectionPools(SETTINGS), NewPools(SETTINGS)
        mixed = Mixed(old, new, [7], Migration(None), lambda: None)
        for kind, at in ((0, old), (7, new), (0, old)):
            mixed.put(Endpoint("n", ("127.0.0.1", 9), ListedServer(1, kind=kind)))
            assert (1 in at.listed) and (1 in old.listed) + (1 in new.listed) == 1 == len(mixed.listed)
        mixed.remove(1)
        assert not mixed.listed and not old.listed and not new.listed
        mixed.close()

    asyncio.run(play())


# Clients of the newer format


@asynccontextmanager
async def fronted(tmp_path: Path, *types: str, on_call: Any = None, hosts: int = 1) -> AsyncIterator[Any]:
    """A gateway with a front of the newer format, servers behind it, and pools as its client."""
    async with rigged(on_call=on_call) as behind:
        config = configuration(*[f"127.0.0.1:{behind.entry.address[1]}"] * hosts)
        for endpoint in config["known"]["endpoints"]:
            endpoint["type"] = "v2"
        file = tmp_path / "operator.toml"
        file.write_text('[newer]\ntypes = ["v2"]\nlisten = ["127.0.0.1:0"]\n')
        async with running(config, load_operator(str(file))) as gateway:
            front = gateway.instance.grpc_listener
            assert front is not None
            place = front.servers[0].sockets[0].getsockname()
            async with rigged() as client:
                client.pools.put(Endpoint("g", ("127.0.0.1", place[1]), ListedServer(1, started_us=1)))
                yield client, gateway, front


def asked_for(client: Rig, head: bytes, body: bytes = b"") -> Heard:
    heard = Heard()
    call = Call("a", 0, 5_000_000, None, None, False, 0, Message(head, body), None)  # type: ignore[arg-type]
    client.pools.begin(call, 1, 5_000_000, heard)
    return heard


def head_of(number: int, klass: str = "hold", path: str = "hold") -> bytes:
    key = b"Idempotency-Key: k%d\r\n" % number if klass == "hold" else b""
    method = b"POST" if klass == "hold" else b"GET"
    return b"%s /%s/7 HTTP/1.1\r\nHost: g\r\nX-Call-Id: id%d\r\nX-Call-Class: %s\r\n%s" % (
        method,
        path.encode(),
        number,
        klass.encode(),
        key,
    )


@on_loop
async def test_a_new_client_is_served_with_long_answers_and_what_is_wrong_is_named(tmp_path: Path) -> None:
    def take(connection: NewConnection, asked: Asked) -> None:
        connection.answer(asked, body=asked.body * 3000, parts=9)

    async with fronted(tmp_path, on_call=take) as (client, _, front):
        calls = [asked_for(client, head_of(n), b"%04d" % n) for n in range(20)]
        long = asked_for(client, head_of(99), b"z" * 1000)  # 3,000,000 bytes pass through
        await until(lambda: all(c.ends for c in [*calls, long]))
        for n, heard in enumerate(calls):
            assert heard.ends[0][1] is not None and heard.ends[0][1].body == b"%04d" % n * 3000
        assert long.ends[0][0] is Outcome.OK and sum(map(len, long.pieces)) == 3_000_000
        wrong = [
            asked_for(client, head_of(200, "nothing", "nothing")),
            asked_for(client, head_of(201, "hold", "search")),
            asked_for(client, head_of(202), b"x" * 200_000),  # one message: a long body comes in several
        ]
        await until(lambda: all(c.ends for c in wrong))
        assert [c.ends[0][0] for c in wrong] == [Outcome.ERROR] * 3 and front.counts.unreadable == 3


@on_loop
async def test_a_long_body_of_a_new_client_passes_through_and_one_that_is_cut_is_never_whole(
    tmp_path: Path,
) -> None:
    whole: list[bytes] = []

    def take(connection: NewConnection, asked: Asked) -> None:
        whole.append(asked.body)
        connection.answer(asked, body=b"%d" % len(asked.body))

    async with fronted(tmp_path, on_call=take) as (client, gateway, front):

        async def send(number: int, size: int, told: int | None) -> Heard:
            streamed_body, heard = StreamedBody(told, BodyMemoryBudget(64)), Heard()
            message = Message(head_of(number), b"")
            call = Call("a", 0, 5_000_000, None, None, False, 0, message, None, streamed_body)  # type: ignore[arg-type]
            client.pools.begin(call, 1, 5_000_000, heard)
            for _ in range(0, size, 50_000):
                await until(lambda: not streamed_body.is_full or heard.ends)
                streamed_body.feed(b"z" * 50_000)
            streamed_body.complete()
            await until(lambda: heard.ends)
            return heard

        for number, told in ((1, 1_000_000), (2, None)):
            heard = await send(number, 1_000_000, told)
            assert heard.ends[0][1] is not None and heard.ends[0][1].body == b"1000000"
        assert [len(body) for body in whole] == [1_000_000] * 2
        for number, told in ((3, 1_000_001), (4, 900_000)):  # shorter and longer than it was to be
            assert (await send(number, 1_000_000, told)).ends[0][0] is not Outcome.OK
        assert len(whole) == 2
        await until(lambda: not gateway.gateway.in_flight and not front.body_budget.active_bodies)


@on_loop
async def test_a_refusal_says_when_to_come_back_and_a_drain_moves_clients_on(tmp_path: Path) -> None:
    async with fronted(tmp_path, on_call=lambda c, a: c.trailers_only(a, 8, x_rejected="1")) as made:
        client, gateway, front = made
        heard = asked_for(client, head_of(1))
        await until(lambda: heard.ends)
        assert heard.ends[0][0] is Outcome.REJECTED
        (line,) = front.lines
        gateway.server.standby()
        await until(lambda: not front.lines)
        await until(lambda: client.pools.counts.goaways == 1)
        assert line.leaving


@on_loop
async def test_a_call_on_its_way_when_a_drain_began_is_not_run(tmp_path: Path) -> None:
    ran: list[str] = []

    def take(connection: NewConnection, asked: Asked) -> None:
        ran.append(asked.headers["x-call-id"])
        if len(ran) > 1:
            connection.answer(asked)

    async with fronted(tmp_path, on_call=take) as (client, gateway, front):
        held = asked_for(client, head_of(1))
        await until(lambda: ran)
        (line,) = front.lines
        line.leave()
        line.flush()
        late = asked_for(client, head_of(2))  # sent before the client has read GOAWAY
        await until(lambda: late.ends)
        assert late.ends[0][0] is Outcome.NOT_SENT and ran == ["id1"] and not held.ends


@on_loop
async def test_rapid_reset_ends_the_connection_and_nothing_is_left_in_work(tmp_path: Path) -> None:
    async with fronted(tmp_path) as (client, gateway, front):
        calls = [asked_for(client, head_of(1))]
        await until(lambda: front.lines)
        for n in range(2, 180):
            heard = asked_for(client, head_of(n))
            line = client.pools.hosts[1].lines[0]
            line.give_up(next(reversed(line.attempts.values())), Outcome.CANCELLED)
            calls.append(heard)
        await until(lambda: calls[0].ends)
        assert front.counts.calmed == 1 and not front.lines
        await until(lambda: not gateway.gateway.in_flight)
