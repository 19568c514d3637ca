"""DNS: what can be read and what not, what is kept, who may ask; and the whole over real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import dns.edns
import dns.flags
import dns.message
import dns.rcode
import dns.rdatatype
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sagetrack.config.operator import load as load_operator
from sagetrack.config.platform import stable_id
from sagetrack.core.endpoints import Endpoint
from sagetrack.dns.cache import OVERHEAD, Cache
from sagetrack.dns.downstream import PIPELINED, Limits
from sagetrack.dns.limits import Access, InWork, ResponseRate, Verdict
from sagetrack.dns.message import (
    MessageError,
    Rcode,
    error,
    parse_answer,
    parse_query,
    refused_unread,
    reply,
    upstream_query,
)
from sagetrack.dns.service import Plan, Service, ZonePlan
from sagetrack.dns.zone import Member, ZoneError, Zones
from sagetrack.lab.dns import Manner, Nameserver, nameserver
from sagetrack.lab.dnsfuzz import Found, examine, fuzz, seeds
from sagetrack.policy.events import ListedServer, ListKind, ServerStatus
from tests.sockets import configuration, on_loop, running, until


def query(name: str = "a.example.", kind: str = "A", **options: Any) -> bytes:
    return dns.message.make_query(name, kind, **options).to_wire()


def answer_to(data: bytes, ttl: int = 60, **manner: Any) -> bytes:
    return Nameserver(Manner(ttl=ttl, **manner)).answers(data, False)[0]


# Messages


@given(st.binary(max_size=600))
def test_no_bytes_break_the_reading_of_a_query(data: bytes) -> None:
    with contextlib.suppress(MessageError):
        made = parse_query(data)
        assert dns.message.from_wire(error(made, Rcode.SERVFAIL), ignore_trailing=True).id == made.id
    for rcode in (Rcode.FORMERR, Rcode.BADVERS):
        said = refused_unread(data, rcode)
        assert said is None or len(said) <= max(23, len(data))


@settings(max_examples=400)
@given(st.integers(0, 200), st.integers(0, 255), st.integers(0, 200), st.binary(max_size=4))
def test_no_mutated_answer_breaks_or_passes_for_another(at: int, byte: int, cut: int, tail: bytes) -> None:
    asked = parse_query(query("b.example.", use_edns=0))
    wire = bytearray(answer_to(upstream_query(asked, 77), records=3))
    wire[at % len(wire)] = byte
    data = bytes(wire[: len(wire) - cut % len(wire)]) + tail
    try:
        made = parse_answer(data, asked, 77)
    except MessageError:
        return
    if made is not None:
        assert data[:2] == b"\0\x4d" and len(reply(asked, made, 65_535, 5)) <= len(data) + 64


@pytest.mark.parametrize(
    ("data", "rcode"),
    [
        (b"", None),
        (b"\0" * 11, None),
        (answer_to(query()), None),
        (b"\0\1\x28\0\0\1\0\0\0\0\0\0" + query()[12:], Rcode.NOTIMP),
        (b"\0\1\0\0\0\2\0\0\0\0\0\0" + query()[12:] * 2, Rcode.FORMERR),
        (query()[:-1], Rcode.FORMERR),
        (b"\0\1\0\0\0\1\0\0\0\0\0\0\xc0\x0c\0\1\0\1", Rcode.FORMERR),
        (b"\0\1\0\0\0\1\0\0\0\0\0\0" + (b"\x3f" + b"a" * 63) * 4 + b"\x01e\0\0\1\0\1", Rcode.FORMERR),
        (query(kind="AXFR"), Rcode.NOTIMP),
        (query(use_edns=1), Rcode.BADVERS),
        (query(use_edns=0)[:-1], Rcode.FORMERR),
        (query(use_edns=0)[:-2] + b"\0\5\0\x0a\0\x09x", Rcode.FORMERR),
    ],
)
def test_what_cannot_be_answered_is_told_why(data: bytes, rcode: Rcode | None) -> None:
    with pytest.raises(MessageError) as caught:
        parse_query(data)
    assert caught.value.rcode == rcode


def test_a_pointer_loop_in_an_answer_ends() -> None:
    asked = parse_query(query())
    wire = bytearray(answer_to(upstream_query(asked, 5)))
    at = 12 + len(asked.question)
    wire[at : at + 2] = (0xC000 | at).to_bytes(2)  # a name that points to itself: nobody follows it
    assert parse_answer(bytes(wire), asked, 5) is not None


def test_letter_case_is_the_clients_and_ttls_are_less_their_age() -> None:
    asked = parse_query(query("mIxEd.Example."))
    other = parse_query(query("MIXED.example.", use_edns=0, want_dnssec=False))
    assert asked.subject == other.subject
    answer = parse_answer(answer_to(upstream_query(asked, 9), ttl=100), asked, 9)
    assert answer is not None and answer.ttl == 100
    said = dns.message.from_wire(reply(other, answer, 65_535, age_s=40))
    assert said.id == other.id and said.question[0].name.to_text() == "MIXED.example."
    assert said.answer[0].ttl == 60 and said.edns == 0


def test_a_negative_answer_is_kept_by_its_soa_and_a_failure_not_at_all() -> None:
    asked = parse_query(query())
    negative = parse_answer(answer_to(upstream_query(asked, 1), ttl=30, negative=True), asked, 1)
    failed = parse_answer(answer_to(upstream_query(asked, 1), rcode=2), asked, 1)
    assert negative is not None and negative.ttl == 30 and negative.rcode == Rcode.NXDOMAIN
    assert failed is not None and failed.ttl == 0


def test_what_does_not_fit_is_cut_with_tc() -> None:
    asked = parse_query(query())
    answer = parse_answer(answer_to(upstream_query(asked, 1), records=100), asked, 1)
    assert answer is not None
    said = dns.message.from_wire(reply(asked, answer, 512))
    assert said.flags & dns.flags.TC and not said.answer


# Cache and limits


def test_the_cache_keeps_within_its_bytes_and_drops_the_least_used() -> None:
    cache = Cache(5 * OVERHEAD)
    for number in range(20):
        asked = parse_query(query(f"n{number}.example."))
        answer = parse_answer(answer_to(upstream_query(asked, 1)), asked, 1)
        assert answer is not None
        cache.put(asked.subject, answer, number)
        assert cache.bytes <= cache.limit
    assert cache.get(asked.subject, 20) is not None
    assert 0 < len(cache.entries) < 6 and cache.counts.evicted == 20 - len(cache.entries)


def test_answers_run_out_go_stale_and_are_prefetched_when_popular() -> None:
    cache = Cache(10**6, stale_s=100)
    asked = parse_query(query())
    answer = parse_answer(answer_to(upstream_query(asked, 1), ttl=10), asked, 1)
    assert answer is not None
    cache.put(asked.subject, answer, 0)
    assert [cache.get(asked.subject, t * 10**6) is not None for t in (0, 5, 9)] == [True, True, True]
    hit = cache.get(asked.subject, 9_500_000)
    again = cache.get(asked.subject, 9_600_000)
    assert cache.counts.prefetched == 1 and again is not None and not again.prefetch and hit is not None
    assert cache.get(asked.subject, 10_000_000) is None
    assert cache.get_stale(asked.subject, 10_000_000) is not None
    assert cache.get_stale(asked.subject, 111_000_000) is None


def test_access_goes_by_the_longest_prefix() -> None:
    access = Access(["10.0.0.0/8", "::1/128"], ["10.1.0.0/16"])
    assert access.allows("10.2.0.1") and access.allows("::1")
    assert not access.allows("10.1.0.1") and not access.allows("192.0.2.1")


def test_answers_to_one_prefix_are_bounded_and_half_of_the_rest_is_cut_short() -> None:
    rate = ResponseRate(10, burst=10)
    verdicts = [rate.judge(f"192.0.2.{n % 250}", 0) for n in range(100)]
    assert verdicts.count(Verdict.ANSWER) == 10 and verdicts.count(Verdict.CUT) == 45
    assert rate.judge("198.51.100.1", 0) is Verdict.ANSWER
    assert rate.judge("192.0.2.9", 10**6) is Verdict.ANSWER


def test_queries_in_work_are_bounded_for_each_and_in_all() -> None:
    work = InWork(2, 3)
    assert [work.enter(host) for host in "aaabb"] == [True, True, False, True, False]
    work.leave("a")
    assert work.enter("b") and not work.enter("c")


# Over sockets


@asynccontextmanager
async def serving(*servers: Nameserver, **plan: Any) -> AsyncIterator[tuple[Service, tuple[str, int]]]:
    service = Service(Plan([("127.0.0.1", 0)], [server.place for server in servers], **plan), 1)
    (place,) = await service.start()
    try:
        yield service, place
    finally:
        service.close()


class Client(asyncio.DatagramProtocol):
    """Asks over UDP."""

    def __init__(self) -> None:
        self.got: list[dns.message.Message] = []

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.got.append(dns.message.from_wire(data))

    @classmethod
    async def to(cls, place: tuple[str, int]) -> Client:
        loop = asyncio.get_running_loop()
        transport, client = await loop.create_datagram_endpoint(cls, remote_addr=place)
        client.transport = transport
        return client

    transport: asyncio.DatagramTransport

    async def ask(self, data: bytes) -> dns.message.Message:
        had = len(self.got)
        self.transport.sendto(data)
        await until(lambda: len(self.got) > had)
        return self.got[-1]


def codes(message: dns.message.Message) -> list[int]:
    return [int(o.code) for o in message.options if isinstance(o, dns.edns.EDEOption)]


@on_loop
async def test_a_query_is_forwarded_kept_and_answered_in_the_clients_case() -> None:
    async with nameserver() as upstream, serving(upstream) as (service, place):
        client = await Client.to(place)
        first = await client.ask(query("One.Example."))
        second = await client.ask(query("oNE.example."))
        assert first.answer[0][0].to_text() == second.answer[0][0].to_text() == "192.0.2.1"
        assert second.question[0].name.to_text() == "oNE.example."
        assert upstream.udp_queries == 1 and service.cache.counts.hits == 1
        client.transport.close()


@on_loop
async def test_a_cut_answer_is_asked_for_over_tcp_and_counts_as_one_attempt() -> None:
    async with nameserver(Manner(cut=True, records=60)) as upstream, serving(upstream) as (service, place):
        client = await Client.to(place)
        said = await client.ask(query(use_edns=0, payload=4096))
        assert len(said.answer[0]) == 60 and upstream.tcp_queries == 1
        gateway = service.gateway
        assert gateway.metrics.sends.by_class == [1] and gateway.metrics.answered.by_class == [1]
        assert gateway.balancer.servers[next(iter(gateway.balancer.servers))].breaker.failures == 0
        client.transport.close()


@on_loop
async def test_equal_questions_share_a_call_and_a_repeat_joins_it() -> None:
    async with nameserver(Manner(delay_s=0.1)) as upstream, serving(upstream) as (service, place):
        one, other = await Client.to(place), await Client.to(place)
        data = query()
        one.transport.sendto(data)
        one.transport.sendto(data)
        other.transport.sendto(query())
        await until(lambda: one.got and other.got)
        assert upstream.udp_queries == 1 and len(one.got) == 1
        assert service.front.counts.joined == 1 and service.front.counts.shared == 1
        for client in (one, other):
            client.transport.close()


@on_loop
async def test_forged_answers_are_passed_over() -> None:
    forger = Manner(forge=50, stranger=True)
    async with nameserver(forger) as upstream, serving(upstream) as (service, place):
        client = await Client.to(place)
        for number in range(20):
            said = await client.ask(query(f"n{number}.example."))
            assert [r.to_text() for r in said.answer[0]] == ["192.0.2.1"]
        assert service.back.counts.unmatched == 20 * 50
        ports = {port for _, _, port in upstream.seen}
        assert len(ports) > 1 and len({id_ for _, id_, _ in upstream.seen}) > 10
        client.transport.close()


@on_loop
async def test_a_failing_fleet_is_answered_at_once_or_from_what_is_stale() -> None:
    plan = {"deadline_us": 400_000}
    async with nameserver(Manner(ttl=1)) as upstream, serving(upstream, **plan) as (service, place):
        client = await Client.to(place)
        await client.ask(query("kept.example."))
        upstream.manner.rcode = 2
        for kept in service.cache.entries.values():
            kept.until_us = 0
            kept.until_us = kept.since_us
        stale = await client.ask(query("kept.example.", use_edns=0))
        assert stale.answer[0].ttl == 30 and codes(stale) == [3]
        failed = await client.ask(query("other.example.", use_edns=0))
        assert failed.rcode() == dns.rcode.SERVFAIL and codes(failed) in ([14], [22], [23])
        upstream.manner = Manner(silent=True)
        late = await client.ask(query("silent.example.", use_edns=0))
        assert late.rcode() == dns.rcode.SERVFAIL
        client.transport.close()


@on_loop
async def test_a_slow_server_does_not_stall_the_others() -> None:
    slow, good = Manner(delay_s=5.0), Manner(address="192.0.2.9")
    async with nameserver(slow) as one, nameserver(good) as two, serving(one, two) as (_, place):
        client = await Client.to(place)
        said = [await client.ask(query(f"n{number}.example.")) for number in range(100)]
        good_ones = sum(message.rcode() == dns.rcode.NOERROR for message in said)
        # Some are refused in the first moments: after a time-out the module sheds until answers are prompt.
        assert good_ones >= 90 and two.udp_queries >= 90 and one.udp_queries < 10
        client.transport.close()


@on_loop
async def test_a_lost_datagram_takes_no_server_out_of_use() -> None:
    async with nameserver(Manner(loss=0.02, delay_s=0.001)) as upstream, serving(upstream) as (_, place):
        client = await Client.to(place)
        for number in range(300):
            client.transport.sendto(query(f"n{number}.example."))
            if number % 10 == 9:
                await asyncio.sleep(0)
        await until(lambda: len(client.got) >= 300)
        good = sum(message.rcode() == dns.rcode.NOERROR for message in client.got)
        assert good >= 270, (good, upstream.udp_queries)
        client.transport.close()


@on_loop
async def test_who_may_not_ask_is_refused() -> None:
    async with nameserver() as upstream, serving(upstream, allow=["10.0.0.0/8"]) as (service, place):
        client = await Client.to(place)
        said = await client.ask(query(use_edns=0))
        assert said.rcode() == dns.rcode.REFUSED and codes(said) == [18]
        assert not upstream.udp_queries and service.front.counts.denied == 1
        client.transport.close()


async def tcp_answers(reader: asyncio.StreamReader, count: int) -> list[dns.message.Message]:
    found = []
    for _ in range(count):
        length = int.from_bytes(await reader.readexactly(2))
        found.append(dns.message.from_wire(await reader.readexactly(length)))
    return found


@on_loop
async def test_tcp_queries_come_in_pieces_and_are_answered_in_any_order() -> None:
    unhurried = {
        "latency_objective_us": 20_000_000,
        "deadline_us": 20_000_000,
    }  # on a busy machine none is shed
    async with nameserver(Manner(records=100)) as upstream, serving(upstream, **unhurried) as (_, place):
        reader, writer = await asyncio.open_connection(*place)
        queries = [query(f"n{n}.example.") for n in range(PIPELINED * 2)]
        data = b"".join(len(q).to_bytes(2) + q for q in queries)
        for at in range(0, len(data), 7):
            writer.write(data[at : at + 7])
            if at % 490 == 0:
                await writer.drain()
        said = await tcp_answers(reader, len(queries))
        assert {m.id for m in said} == {int.from_bytes(q[:2]) for q in queries}
        assert all(len(m.answer[0]) == 100 for m in said)
        writer.close()


@pytest.mark.parametrize("data", [b"\0\0", b"\0\x05hello", b"\0\x0b" + b"x" * 11])
@on_loop
async def test_a_frame_that_is_no_message_ends_the_connection(data: bytes) -> None:
    async with nameserver() as upstream, serving(upstream) as (service, place):
        reader, writer = await asyncio.open_connection(*place)
        writer.write(data)
        with contextlib.suppress(ConnectionError):
            assert await reader.read() == b""
        await until(lambda: not service.front.connections)
        writer.close()


@on_loop
async def test_half_a_frame_and_a_close_and_the_largest_frame_do_no_harm() -> None:
    async with nameserver() as upstream, serving(upstream) as (service, place):
        for data in (b"\0", b"\0\x20half", b"\xff\xff" + b"\x01" * 65_535):
            reader, writer = await asyncio.open_connection(*place)
            writer.write(data)
            writer.write_eof()
            with contextlib.suppress(ConnectionError):
                await reader.read()
            writer.close()
        await until(lambda: not service.front.connections)
        client = await Client.to(place)
        assert (await client.ask(query())).rcode() == dns.rcode.NOERROR
        client.transport.close()


@on_loop
async def test_a_client_that_reads_nothing_is_bounded() -> None:
    plan = {"limits": Limits(connections_each=1)}
    async with nameserver(Manner(records=200)) as upstream, serving(upstream, **plan) as (service, place):
        reader, writer = await asyncio.open_connection(*place)
        frame = query("big.example.")

        async def flood() -> None:
            with contextlib.suppress(ConnectionError):
                for number in range(20_000):
                    asked = number.to_bytes(2) + frame[2:]
                    writer.write(len(asked).to_bytes(2) + asked)
                    if number % 100 == 0:
                        await writer.drain()

        task = asyncio.create_task(flood())
        await until(lambda: any(c.stuck for c in service.front.connections))
        held = [c.transport.get_write_buffer_size() for c in service.front.connections if c.transport]
        assert all(size < 1_000_000 for size in held)
        task.cancel()
        writer.transport.abort()


@on_loop
async def test_a_server_that_is_taken_off_the_list_gets_nothing_more() -> None:
    async with nameserver() as one, nameserver() as two, serving(one, two) as (service, place):
        client = await Client.to(place)
        service.list_upstreams([two.place])
        before = one.udp_queries
        for number in range(20):
            await client.ask(query(f"n{number}.example."))
        assert one.udp_queries == before and two.udp_queries == 20
        client.transport.close()


def test_mutated_messages_of_a_fixed_seed_break_nothing() -> None:
    found = fuzz(20_000, 5)
    assert not found.wrong and found.queries_read > 500 and found.answers_taken > 500


@pytest.mark.parametrize("line", (Path(__file__).parent / "corpus" / "dns.txt").read_text().split())
def test_the_corpus_is_read_without_harm(line: str) -> None:
    found = Found()
    for _, known, id_ in seeds():
        examine(bytes.fromhex(line), known, id_, found)
    assert not found.wrong


# Zones of our own


def asked(name: str, kind: str = "A") -> Any:
    return parse_query(query(name, kind))


def said(zones: Zones, name: str, kind: str = "A") -> dns.message.Message:
    made = asked(name, kind)
    answer = zones.answer(made)
    assert answer is not None
    return dns.message.from_wire(reply(made, answer, 65_535))


SERVERS = [
    Member("s-1", "192.0.2.1", 8081),
    Member("S_2", "192.0.2.2", 8082, 2.0),
    Member("s-6", "2001:db8::6", 80),
]


def made_zones(**more: Any) -> Zones:
    zones = Zones("sur.example.", 1, gateways=[Member("g1", "198.51.100.1", 80)], **more)
    zones.update(SERVERS)
    return zones


def test_the_zone_has_servers_gateways_services_and_reverse_names() -> None:
    zones = made_zones()
    assert {r.to_text() for r in said(zones, "servers.sur.example.").answer[0]} == {"192.0.2.1", "192.0.2.2"}
    assert said(zones, "SERVERS.sur.example.", "AAAA").answer[0][0].to_text() == "2001:db8::6"
    assert said(zones, "s-2.servers.sur.example.").answer[0][0].to_text() == "192.0.2.2"
    assert said(zones, "gateways.sur.example.").answer[0][0].to_text() == "198.51.100.1"
    services = {r.to_text() for r in said(zones, "_http._tcp.servers.sur.example.", "SRV").answer[0]}
    assert "0 200 8082 s-2.servers.sur.example." in services and len(services) == 3
    pointer = said(zones, "1.2.0.192.in-addr.arpa.", "PTR")
    assert pointer.answer[0][0].to_text() == "s-1.servers.sur.example."
    assert zones.answer(asked("www.other.example.")) is None


def test_what_is_not_there_is_denied_with_the_soa_and_empty_names_exist() -> None:
    zones = made_zones()
    none = said(zones, "s-9.servers.sur.example.")
    empty = said(zones, "_tcp.servers.sur.example.")
    other = said(zones, "s-1.servers.sur.example.", "MX")
    assert none.rcode() == dns.rcode.NXDOMAIN and empty.rcode() == other.rcode() == dns.rcode.NOERROR
    for message in (none, empty, other):
        assert not message.answer and message.authority[0].rdtype == dns.rdatatype.SOA
        assert message.flags & dns.flags.AA


def test_the_serial_rises_with_the_list_alone_and_who_leaves_is_gone() -> None:
    zones = made_zones(serial=2**32 - 1)
    first = zones.serial
    assert not zones.update(list(reversed(SERVERS))) and zones.serial == first
    assert zones.update(SERVERS[1:]) and zones.serial == first + 1
    assert said(zones, "s-1.servers.sur.example.").rcode() == dns.rcode.NXDOMAIN
    assert said(zones, "sur.example.", "SOA").answer[0][0].serial == zones.serial


def test_the_order_of_servers_follows_their_weights() -> None:
    weights = {"a": 1.0, "b": 0.05}
    zones = Zones("z.example.", 3, weights=lambda: weights)
    zones.update([Member("a", "192.0.2.1", 1), Member("b", "192.0.2.2", 1)])
    first = 0
    for _ in range(40):
        zones.turn_orders()
        heads = [said(zones, "servers.z.example.").answer[0][0].to_text() for _ in range(8)]
        first += heads.count("192.0.2.1")
    assert 0.85 < first / 320 < 1.0


def test_a_zone_file_is_served_and_a_bad_one_named(tmp_path: Path) -> None:
    good, bad = tmp_path / "good.zone", tmp_path / "bad.zone"
    soa = "@ 300 IN SOA ns root 1 60 60 60 60\n@ 300 IN NS ns\nns 300 IN A 192.0.2.53\n"
    good.write_text(soa + "www 300 IN CNAME host\nhost 300 IN A 192.0.2.80\n")
    zones = Zones("", 1, files=[("static.example.", str(good))])
    message = said(zones, "www.static.example.")
    assert [rrset.rdtype for rrset in message.answer] == [dns.rdatatype.CNAME, dns.rdatatype.A]
    bad.write_text("@ 300 IN A not-an-address\n")
    for path in (bad, tmp_path / "none"):
        with pytest.raises(ZoneError, match=str(path)):
            Zones("", 1, files=[("static.example.", str(path))])


@on_loop
async def test_our_zone_and_the_others_are_answered_by_one_front() -> None:
    plan = {"zone": ZonePlan("sur.example.")}
    async with nameserver() as upstream, serving(upstream, **plan) as (service, place):
        service.list_servers([("s-1", ("192.0.2.7", 80), 1.0)])
        client = await Client.to(place)
        own = await client.ask(query("servers.sur.example."))
        other = await client.ask(query("else.example."))
        assert own.answer[0][0].to_text() == "192.0.2.7" and other.answer[0][0].to_text() == "192.0.2.1"
        assert upstream.udp_queries == 1
        client.transport.close()
    async with serving(**plan) as (service, place):
        client = await Client.to(place)
        refused = await client.ask(query("else.example.", use_edns=0))
        assert refused.rcode() == dns.rcode.REFUSED and codes(refused) == [20]
        client.transport.close()


# Upstream servers in the list of servers


def listed(name: str, place: str, kind: int = 0, status: ServerStatus = ServerStatus.READY) -> Endpoint:
    host, port = place.rsplit(":", 1)
    return Endpoint(name, (host, int(port)), ListedServer(stable_id(name, 4), status, kind=kind))


@on_loop
async def test_the_list_of_servers_names_upstream_servers_and_drains_them() -> None:
    async with nameserver() as one, nameserver() as two, serving(listed=True) as (service, place):
        client = await Client.to(place)
        first, second = (listed(n, f"{s.host}:{s.port}", 9) for n, s in (("one", one), ("two", two)))
        service.on_list(ListKind.FULL, [first])
        await client.ask(query("a.example."))
        draining = ListedServer(first.listed.server, ServerStatus.DRAINING)
        service.on_list(ListKind.DELTA, [Endpoint("one", one.place, draining), second])
        for number in range(20):
            await client.ask(query(f"n{number}.example."))
        assert (one.udp_queries, two.udp_queries) == (1, 20)
        client.transport.close()


@on_loop
async def test_a_gateway_keeps_servers_of_the_dns_type_from_http(tmp_path: Path) -> None:
    async with nameserver() as upstream:
        config = configuration("127.0.0.1:9")
        config["known"]["endpoints"].append(
            {"name": "d-1", "address": f"127.0.0.1:{upstream.port}", "status": "SERVING", "type": "dns"}
        )
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        file = tmp_path / "operator.toml"
        file.write_text(f'[dns]\nlisten = ["127.0.0.1:{port}"]\ntype = "dns"\n')
        async with running(config, load_operator(str(file))) as gateway:
            assert [host.name for host in gateway.instance.pools.servers.values()] == ["s-0"]
            client = await Client.to(("127.0.0.1", port))
            assert (await client.ask(query())).answer[0][0].to_text() == "192.0.2.1"
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            gateway.server.standby()
            writer.write(len(query()).to_bytes(2) + query())
            assert (await tcp_answers(reader, 1))[0].answer and await reader.read() == b""
            gateway.server.active()
            writer.close()
            client.transport.close()


@on_loop
async def test_two_processes_share_the_address_at_an_upgrade_and_the_second_goes_on() -> None:
    async with nameserver() as upstream:
        plan = Plan([("127.0.0.1", 0)], [upstream.place])
        old = Service(plan, 1)
        (place,) = await old.start(shared=True)
        new = Service(replace(plan, listen=[place]), 2)
        await new.start(shared=True)
        try:
            await old.front.leave(asyncio.get_running_loop().time() + 1.0)
            client = await Client.to(place)
            for number in range(10):
                await client.ask(query(f"n{number}.example."))
            assert new.front.counts.answered == 10
            client.transport.close()
        finally:
            old.close()
            new.close()
