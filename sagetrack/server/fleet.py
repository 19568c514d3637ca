"""This gateway's part among the others: who may be spoken to, and what a successor is handed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from sagetrack.config.platform import Address, Config, ConfigError, parse_address
from sagetrack.core.clock import machine_us, now_us
from sagetrack.core.gateway import Gateway
from sagetrack.core.log import log
from sagetrack.policy.interface import ObservationsReceived
from sagetrack.server.hot_restart import HotRestart

if TYPE_CHECKING:
    from sagetrack.config.operator import Operator
    from sagetrack.peers.node import Node

LOOK_S = 0.5  # between looks for what was handed on, and between writing it while another process runs
SUCCESSOR_S = 15.0  # a process that found another at work looks for so long


def addresses(config: Config, operator: Operator | None) -> tuple[int, Address, list[Address]] | None:
    """This gateway's number, where it listens and everyone's address; None where messages are off.

    ConfigError if the operator asks for them and they cannot be had.
    """
    asked = operator.peers if operator is not None else None
    use = asked.use if asked is not None else "platform"
    if use == "off":
        return None
    listen, peers, me = config.peer_listen, list(config.peers), config.settings.proxy
    if asked is not None and use == "on":
        listen = parse_address(asked.listen, "peers.listen") if asked.listen else listen
        peers = [parse_address(peer, "peers.addresses") for peer in asked.addresses] or peers
        me = asked.me if asked.me is not None else me
        if listen is None or not peers:
            raise ConfigError("peers.use = on needs peers.listen and peers.addresses")
        if me >= len(peers):
            raise ConfigError(f"peers.me = {me} is not below the number of peers.addresses, {len(peers)}")
    elif not config.settings.may_tell_peers or len(peers) != config.settings.proxies:
        return None
    if listen is None or len(peers) < 2:
        return None
    return me, listen, peers


def build_peer_node(config: Config, operator: Operator | None, gateway: Gateway) -> Node | None:
    """The node, not yet started; None where messages between gateways are off."""
    found = addresses(config, operator)
    if found is None:
        return None
    from sagetrack.peers.membership import Settings
    from sagetrack.peers.node import Node

    me, listen, peers = found
    settings, warm = Settings(), True
    if operator is not None:
        asked = operator.peers
        settings = Settings(period_us=asked.period_ms * 1000, timeout_us=asked.timeout_ms * 1000)
        warm = asked.warm_start
    return Node(
        me,
        listen,
        peers,
        settings,
        config.seed,
        lambda event: gateway.post(lambda: event),
        gateway.balancer.sights,
        gateway.lives,
        warm,
        demand_source(gateway),
    )


def demand_source(gateway: Gateway) -> Callable[[], list[float]] | None:
    """What members ask for, for the others, where fair queues are on."""
    admission = gateway.balancer.admission
    return None if admission is None else lambda: admission.levels.tell(now_us())


class HealthHandover:
    """Knowledge between two processes of one gateway: the older writes it down, the younger takes it up."""

    def __init__(self, overlap: HotRestart, config: Config, gateway: Gateway) -> None:
        assert overlap.folder is not None
        self.folder: Path = overlap.folder
        self.overlap, self.config, self.gateway = overlap, config, gateway
        self.loop = asyncio.get_running_loop()
        self.successor = overlap.serving > 0
        self.until_s = self.loop.time() + SUCCESSOR_S
        self.written_us = 0  # of the newest note that was taken
        self.taken = 0
        self.timer = self.loop.call_soon(self.look)

    def look(self) -> None:
        """Take up a note that is new, or leave one where another process runs."""
        self.timer = self.loop.call_later(LOOK_S, self.look)
        if self.successor and self.loop.time() < self.until_s:
            self.take()
            if self.overlap.others:
                return
        if self.overlap.others:
            self.leave_note()

    def take(self) -> None:
        from sagetrack.peers.handover import moved, read

        note = read(self.folder, self.config.name, machine_us())
        if note is None or note.written_us <= self.written_us:
            return
        self.written_us = note.written_us
        if not self.taken:
            log(f"took over what the process before knew of {len(note.sights)} servers")
        self.taken += len(note.sights)
        sights = moved(note.sights, now_us() - machine_us())
        event = ObservationsReceived(tuple(sights), tuple(note.latencies))
        self.gateway.post(lambda: event)

    def leave_note(self) -> None:
        from sagetrack.peers.handover import moved, write

        sights, latencies = self.gateway.balancer.sights()
        on_machine = moved(sights, machine_us() - now_us())
        write(self.folder, self.config.name, machine_us(), on_machine, latencies)

    def close(self) -> None:
        self.timer.cancel()
