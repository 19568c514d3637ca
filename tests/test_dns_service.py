"""The DNS service over sockets: forwarding, shared requests, spoofing, failing servers and hot restart."""

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
async def test_response_is_cached_and_sent_in_the_letter_case_of_each_query() -> None:
    async with nameserver() as upstream, running_service(upstream) as (service, address):
        client = await UdpClient.connect(address)
        first = await client.exchange(query("One.Example."))
        second = await client.exchange(query("oNE.example."))
        assert first.answer[0][0].to_text() == second.answer[0][0].to_text() == "192.0.2.1"
        assert second.question[0].name.to_text() == "oNE.example."
        assert upstream.udp_queries == 1 and service.cache.counts.hits == 1
        client.transport.close()


@on_event_loop
async def test_truncated_response_is_retried_over_tcp_within_one_attempt() -> None:
    async with (
        nameserver(NameserverBehaviour(truncates=True, records=60)) as upstream,
        running_service(upstream) as (service, address),
    ):
        client = await UdpClient.connect(address)
        response = await client.exchange(query(use_edns=0, payload=4096))
        assert len(response.answer[0]) == 60 and upstream.tcp_queries == 1
        gateway = service.gateway
        assert gateway.metrics.sends.by_class == [1] and gateway.metrics.answered.by_class == [1]
        assert gateway.balancer.servers[next(iter(gateway.balancer.servers))].breaker.failures == 0
        client.transport.close()


@on_event_loop
async def test_equal_questions_share_a_request_and_a_repeated_query_is_ignored() -> None:
    async with (
        nameserver(NameserverBehaviour(delay_s=0.1)) as upstream,
        running_service(upstream) as (service, address),
    ):
        client_a, client_b = await UdpClient.connect(address), await UdpClient.connect(address)
        data = query()
        client_a.transport.sendto(data)
        client_a.transport.sendto(data)
        client_b.transport.sendto(query())
        await wait_until(lambda: client_a.responses and client_b.responses)
        assert upstream.udp_queries == 1 and len(client_a.responses) == 1
        assert service.handler.counts.retransmitted == 1 and service.handler.counts.shared == 1
        for client in (client_a, client_b):
            client.transport.close()


@on_event_loop
async def test_spoofed_responses_are_ignored() -> None:
    spoofing = NameserverBehaviour(forgeries=50, spoofs_source=True)
    async with nameserver(spoofing) as upstream, running_service(upstream) as (service, address):
        client = await UdpClient.connect(address)
        for number in range(20):
            response = await client.exchange(query(f"n{number}.example."))
            assert [r.to_text() for r in response.answer[0]] == ["192.0.2.1"]
        assert service.upstreams.counts.unmatched == 20 * 50
        ports = {port for _, _, port in upstream.received_queries}
        assert len(ports) > 1 and len({id_ for _, id_, _ in upstream.received_queries}) > 10
        client.transport.close()


@on_event_loop
async def test_upstream_failure_gives_a_stale_response_or_servfail() -> None:
    options = {"deadline_us": 400_000}
    async with (
        nameserver(NameserverBehaviour(ttl=1)) as upstream,
        running_service(upstream, **options) as (service, address),
    ):
        client = await UdpClient.connect(address)
        await client.exchange(query("kept.example."))
        upstream.behaviour.rcode = 2
        for entry in service.cache.entries.values():
            entry.expires_us = 0
            entry.expires_us = entry.cached_us
        stale = await client.exchange(query("kept.example.", use_edns=0))
        assert stale.answer[0].ttl == 30 and extended_errors(stale) == [3]
        failed = await client.exchange(query("other.example.", use_edns=0))
        assert failed.rcode() == dns.rcode.SERVFAIL and extended_errors(failed) in ([14], [22], [23])
        upstream.behaviour = NameserverBehaviour(is_silent=True)
        unanswered = await client.exchange(query("silent.example.", use_edns=0))
        assert unanswered.rcode() == dns.rcode.SERVFAIL
        client.transport.close()


@on_event_loop
async def test_slow_server_does_not_delay_the_others() -> None:
    slow, prompt = NameserverBehaviour(delay_s=5.0), NameserverBehaviour(address="192.0.2.9")
    async with (
        nameserver(slow) as first_upstream,
        nameserver(prompt) as second_upstream,
        running_service(first_upstream, second_upstream) as (_, address),
    ):
        client = await UdpClient.connect(address)
        responses = [await client.exchange(query(f"n{number}.example.")) for number in range(100)]
        successful = sum(message.rcode() == dns.rcode.NOERROR for message in responses)
        # A few queries are refused at first: after a timeout, load is shed until latencies are low again.
        assert successful >= 90 and second_upstream.udp_queries >= 90 and first_upstream.udp_queries < 10
        client.transport.close()


@on_event_loop
async def test_lost_datagrams_do_not_eject_a_server() -> None:
    async with (
        nameserver(NameserverBehaviour(loss=0.02, delay_s=0.001)) as upstream,
        running_service(upstream) as (_, address),
    ):
        client = await UdpClient.connect(address)
        for number in range(300):
            client.transport.sendto(query(f"n{number}.example."))
            if number % 10 == 9:
                await asyncio.sleep(0)
        await wait_until(lambda: len(client.responses) >= 300)
        successful_count = sum(message.rcode() == dns.rcode.NOERROR for message in client.responses)
        assert successful_count >= 270, (successful_count, upstream.udp_queries)
        client.transport.close()


@on_event_loop
async def test_denied_client_is_refused() -> None:
    async with (
        nameserver() as upstream,
        running_service(upstream, allowed_prefixes=["10.0.0.0/8"]) as (service, address),
    ):
        client = await UdpClient.connect(address)
        response = await client.exchange(query(use_edns=0))
        assert response.rcode() == dns.rcode.REFUSED and extended_errors(response) == [18]
        assert not upstream.udp_queries and service.handler.counts.denied == 1
        client.transport.close()


@on_event_loop
async def test_new_process_serves_the_shared_address_after_hot_restart() -> None:
    async with nameserver() as upstream:
        config = DnsConfig([("127.0.0.1", 0)], [upstream.address])
        old_process = DnsService(config, 1)
        (address,) = await old_process.start(shared=True)
        new_process = DnsService(replace(config, listen=[address]), 2)
        await new_process.start(shared=True)
        try:
            await old_process.listener.shut_down(asyncio.get_running_loop().time() + 1.0)
            client = await UdpClient.connect(address)
            for number in range(10):
                await client.exchange(query(f"n{number}.example."))
            assert new_process.handler.counts.answered == 10
            client.transport.close()
        finally:
            old_process.close()
            new_process.close()
