"""Servers of the newer format beside those of the older one, where the operator's file has them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from sagetrack.config.platform import Config, ConfigError
from sagetrack.core.bodies import Upload
from sagetrack.core.clock import now_us
from sagetrack.core.endpoints import Endpoint, Header
from sagetrack.core.gateway import Gateway
from sagetrack.core.interfaces import Call, Client, UpstreamPool
from sagetrack.core.log import log
from sagetrack.discovery.client import number_of
from sagetrack.http1.requests import Request, RequestError, read_call
from sagetrack.policy.interface import ListKind, TrafficShift
from sagetrack.policy.migration import Move

if TYPE_CHECKING:
    from sagetrack.config.operator import NewerSettings, Operator
    from sagetrack.grpc.mirroring import ResponseMirror
    from sagetrack.grpc.protocol_router import ProtocolRouter, WeightFactors
    from sagetrack.grpc.request_intake import RequestReader
    from sagetrack.grpc.tls import TlsCredentials

LOOK_S = 1.0  # between looks at the share of the newer format


def reader(config: Config) -> RequestReader:
    """Reads calls of the newer format as those of the older one are read: one set of rules for both."""
    from sagetrack.grpc.errors import RequestReadError
    from sagetrack.grpc.outcomes import Status

    def read(
        method: str,
        target: bytes,
        headers: list[Header],
        body: bytes,
        budget_us: int,
        client: Client,
        upload: Upload | None,
    ) -> Call:
        request = Request()
        request.upload = upload
        request.method, request.target, request.body = method.encode(), target, [body] if body else []
        request.headers = [
            *headers,
            *([(b"X-Budget-Ms", b"%d" % max(1, budget_us // 1000))] if budget_us else []),
        ]
        try:
            return read_call(request, target.partition(b"?")[0], config, client)
        except RequestError as error:
            status = Status.UNIMPLEMENTED if error.status == 404 else Status.INVALID_ARGUMENT
            raise RequestReadError(status, str(error)) from None

    return read


class Newer:
    """Both formats behind one back, the share between them, and the keys."""

    def __init__(self, mixed: ProtocolRouter, gateway: Gateway) -> None:
        self.mixed, self.gateway, self.tell = mixed, gateway, gateway.on_list
        self.shadow: ResponseMirror | None = None
        self.loop = asyncio.get_running_loop()
        mixed.on_fallback = self.left
        mixed.on_exceptions = self.on_turns
        self.timer = self.loop.call_later(LOOK_S, self.look)

    def on_list(self, kind: ListKind, entries: list[Endpoint]) -> None:
        """A list from discovery, weights turned for the share."""
        if kind is not ListKind.ERROR and kind is not ListKind.DELTA:
            self.mixed.endpoints.clear()
        self.tell(kind, self.mixed.weighted(entries))
        self.turn()

    def turn(self) -> None:
        changed = self.mixed.update_weights()
        if changed:
            self.tell(ListKind.DELTA, changed)

    def on_turns(self, classes: WeightFactors, members: WeightFactors) -> None:
        turns = TrafficShift(classes, members)
        self.gateway.post(lambda: turns)

    def compare(self, asked: NewerSettings, names: list[str], wanted: Callable[[], bool]) -> None:
        """Hold answers of both formats against each other, at so many a second."""
        from sagetrack.grpc.mirroring import ResponseMirror

        self.shadow = ResponseMirror(self.gateway, asked.compare_per_s, asked.compare_ignore, names, wanted)
        self.mixed.on_response = self.shadow.on_response

    def renew(self, config: Config, asked: NewerSettings) -> None:
        """Other shares, while calls go on; ConfigError if they name what is not there."""
        classes, members = parts(config, asked)
        move = self.mixed.migration
        if (move.share, move.classes, move.members) != (asked.share, classes, members):
            log(f"the newer format's share is now {'as listed' if asked.share is None else asked.share}")
            move.share, move.classes, move.members = asked.share, classes, members
            self.turn()

    def look(self) -> None:
        self.timer = self.loop.call_later(LOOK_S, self.look)
        self.turn()

    def left(self) -> None:
        """The newer format fails more than the older one: at once, nothing goes there that need not."""
        hold_s = (self.mixed.migration.held_until_us - now_us()) / 1e6
        log(f"servers of the newer format fail more than the others: none of the share for {hold_s:.0f} s")
        self.loop.call_soon(self.turn)

    def figures(self) -> dict[str, float]:
        """For the stats."""
        move = self.mixed.migration
        found = self.shadow.figures() if self.shadow is not None else {}
        return (
            found
            | self.mixed.grpc.figures()
            | {
                "new_failing": round(move.new.failing, 4),
                "old_failing": round(move.old.failing, 4),
                "new_returns_total": move.returns,
            }
        )

    def close(self) -> None:
        self.timer.cancel()


def keys_for(operator: Operator | None) -> TlsCredentials | None:
    """The keys of the newer side, where it has TLS; ConfigError for bad ones."""
    asked = operator.newer if operator is not None else None
    if asked is None or not asked.tls:
        return None
    from sagetrack.grpc.tls import TlsCredentials, TlsFilesError

    try:
        return TlsCredentials(asked.ca, asked.certificate, asked.key)
    except TlsFilesError as error:
        raise ConfigError(f"newer: {error}") from None


def renew(keys: TlsCredentials) -> None:
    """SIGHUP: read the keys again; bad ones are one line, and the old ones stay."""
    from sagetrack.grpc.tls import TlsFilesError

    try:
        keys.reload()
    except TlsFilesError as error:
        log(f"the keys stay as they are: {error}")


def mixed_back(
    config: Config, operator: Operator | None, old: UpstreamPool, keys: TlsCredentials | None
) -> ProtocolRouter | None:
    """The back of both formats; None where the operator has no newer servers."""
    asked = operator.newer if operator is not None else None
    if asked is None or not asked.types:
        return None
    from sagetrack.grpc.connection_pool import GrpcConnectionPools
    from sagetrack.grpc.protocol_router import ProtocolRouter

    new = GrpcConnectionPools(config.settings, lambda: keys.context if keys is not None else None)
    kinds = [number_of(name, config.names.kinds) for name in asked.types]
    return ProtocolRouter(old, new, kinds, Move(asked.share, *parts(config, asked)), lambda: None)


def with_newer(config: Config, operator: Operator | None) -> Config:
    """The configuration in which the module knows which servers speak the newer format."""
    if operator is None or not operator.newer.types:
        return config
    kinds = frozenset(number_of(name, config.names.kinds) for name in operator.newer.types)
    return replace(config, settings=replace(config.settings, grpc_kinds=kinds))


def parts(config: Config, asked: NewerSettings) -> tuple[dict[int, float], dict[int, float]]:
    """Shares by class and by member, by number; ConfigError for a name that is not known."""
    found = []
    for what, given, known in (
        ("class", asked.share_by_class, config.names.classes),
        ("member", asked.share_by_member, config.names.tenants),
    ):
        numbers = {name.decode(): number for name, number in known.items()}
        for name in given:
            if name not in numbers:
                there = ", ".join(numbers)
                raise ConfigError(f"newer.share_by_{what}: no {what} {name!r}; there are {there}")
        found.append({numbers[name]: part for name, part in given.items()})
    return found[0], found[1]
