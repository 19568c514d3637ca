"""The DNS service over sockets: forwarding, sharing, spoofing, failing servers, hot restart."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import dns.edns
import dns.flags
import dns.message
import dns.rcode
import dns.rdatatype

from sagetrack.dns.service import DnsConfig, DnsService
from sagetrack.lab.stand_ins.dns_server import NameserverBehaviour, nameserver
from tests.dns_helpers import (
    UdpClient,
    extended_errors,
    query,
    running_service,
)
from tests.sockets import on_event_loop, wait_until


@on_event_loop
async def test_a_query_is_forwarded_kept_and_answered_in_the_clients_case() -> None:
    async with nameserver() as upstream, running_service(upstream) as (service, place):
        client = await UdpClient.to(place)
        first = await client.ask(query("One.Example."))
        second = await client.ask(query("oNE.example."))
        assert first.answer[0][0].to_text() == second.answer[0][0].to_text() == "192.0.2.1"
        assert second.question[0].name.to_text() == "oNE.example."
        assert upstream.udp_queries == 1 and service.cache.counts.hits == 1
        client.transport.close()


@on_event_loop
async def test_a_truncated_response_is_repeated_over_tcp_and_counts_as_one_attempt() -> None:
    async with (
        nameserver(NameserverBehaviour(truncates=True, records=60)) as upstream,
        running_service(upstream) as (service, place),
    ):
        client = await UdpClient.to(place)
        said = await client.ask(query(use_edns=0, payload=4096))
        assert len(said.answer[0]) == 60 and upstream.tcp_queries == 1
        gateway = service.gateway
        assert gateway.metrics.sends.by_class == [1] and gateway.metrics.answered.by_class == [1]
        assert gateway.balancer.servers[next(iter(gateway.balancer.servers))].breaker.failures == 0
        client.transport.close()


@on_event_loop
async def test_equal_questions_share_a_call_and_a_repeat_joins_it() -> None:
    async with (
        nameserver(NameserverBehaviour(delay_s=0.1)) as upstream,
        running_service(upstream) as (service, place),
    ):
        one, other = await UdpClient.to(place), await UdpClient.to(place)
        data = query()
        one.transport.sendto(data)
        one.transport.sendto(data)
        other.transport.sendto(query())
        await wait_until(lambda: one.got and other.got)
        assert upstream.udp_queries == 1 and len(one.got) == 1
        assert service.handler.counts.joined == 1 and service.handler.counts.shared == 1
        for client in (one, other):
            client.transport.close()


@on_event_loop
async def test_forged_answers_are_passed_over() -> None:
    forger = NameserverBehaviour(forgeries=50, spoofs_source=True)
    async with nameserver(forger) as upstream, running_service(upstream) as (service, place):
        client = await UdpClient.to(place)
        for number in range(20):
            said = await client.ask(query(f"n{number}.example."))
            assert [r.to_text() for r in said.answer[0]] == ["192.0.2.1"]
        assert service.upstreams.counts.unmatched == 20 * 50
        ports = {port for _, _, port in upstream.received_queries}
        assert len(ports) > 1 and len({id_ for _, id_, _ in upstream.received_queries}) > 10
        client.transport.close()


@on_event_loop
async def test_a_failing_fleet_is_answered_at_once_or_from_what_is_stale() -> None:
    plan = {"deadline_us": 400_000}
    async with (
        nameserver(NameserverBehaviour(ttl=1)) as upstream,
        running_service(upstream, **plan) as (service, place),
    ):
        client = await UdpClient.to(place)
        await client.ask(query("kept.example."))
        upstream.behaviour.rcode = 2
        for kept in service.cache.entries.values():
            kept.expires_us = 0
            kept.expires_us = kept.cached_us
        stale = await client.ask(query("kept.example.", use_edns=0))
        assert stale.answer[0].ttl == 30 and extended_errors(stale) == [3]
        failed = await client.ask(query("other.example.", use_edns=0))
        assert failed.rcode() == dns.rcode.SERVFAIL and extended_errors(failed) in ([14], [22], [23])
        upstream.behaviour = NameserverBehaviour(is_silent=True)
        late = await client.ask(query("silent.example.", use_edns=0))
        assert late.rcode() == dns.rcode.SERVFAIL
        client.transport.close()


@on_event_loop
async def test_a_slow_server_does_not_stall_the_others() -> None:
    slow, good = NameserverBehaviour(delay_s=5.0), NameserverBehaviour(address="192.0.2.9")
    async with nameserver(slow) as one, nameserver(good) as two, running_service(one, two) as (_, place):
        client = await UdpClient.to(place)
        said = [await client.ask(query(f"n{number}.example.")) for number in range(100)]
        good_ones = sum(message.rcode() == dns.rcode.NOERROR for message in said)
        # Some are refused in the first moments: after a time-out the module sheds until answers are prompt.
        assert good_ones >= 90 and two.udp_queries >= 90 and one.udp_queries < 10
        client.transport.close()


@on_event_loop
async def test_a_lost_datagram_takes_no_server_out_of_use() -> None:
    async with (
        nameserver(NameserverBehaviour(loss=0.02, delay_s=0.001)) as upstream,
        running_service(upstream) as (_, place),
    ):
        client = await UdpClient.to(place)
        for number in range(300):
            client.transport.sendto(query(f"n{number}.example."))
            if number % 10 == 9:
                await asyncio.sleep(0)
        await wait_until(lambda: len(client.got) >= 300)
        good = sum(message.rcode() == dns.rcode.NOERROR for message in client.got)
        assert good >= 270, (good, upstream.udp_queries)
        client.transport.close()


@on_event_loop
async def test_a_client_without_access_gets_refused() -> None:
    async with (
        nameserver() as upstream,
        running_service(upstream, allowed_prefixes=["10.0.0.0/8"]) as (service, place),
    ):
        client = await UdpClient.to(place)
        said = await client.ask(query(use_edns=0))
        assert said.rcode() == dns.rcode.REFUSED and extended_errors(said) == [18]
        assert not upstream.udp_queries and service.handler.counts.denied == 1
        client.transport.close()


@on_event_loop
async def test_two_processes_share_the_address_at_a_hot_restart_and_the_second_goes_on() -> None:
    async with nameserver() as upstream:
        plan = DnsConfig([("127.0.0.1", 0)], [upstream.address])
        old = DnsService(plan, 1)
        (place,) = await old.start(shared=True)
        new = DnsService(replace(plan, listen=[place]), 2)
        await new.start(shared=True)
        try:
            await old.listener.shut_down(asyncio.get_running_loop().time() + 1.0)
            client = await UdpClient.to(place)
            for number in range(10):
                await client.ask(query(f"n{number}.example."))
            assert new.handler.counts.answered == 10
            client.transport.close()
        finally:
            old.close()
            new.close()
