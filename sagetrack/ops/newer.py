"""Servers of the newer format beside those of the older one, where the operator's file has them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sagetrack.config.platform import Config, ConfigError
from sagetrack.core.calls import Entry, Header, OnList
from sagetrack.core.gateway import Back, Call, Client
from sagetrack.core.log import log
from sagetrack.decide.interface import ListKind
from sagetrack.decide.moving import Move
from sagetrack.http.requests import Request, RequestError, read_call
from sagetrack.roster.discovery import number_of

if TYPE_CHECKING:
    from sagetrack.config.operator import Operator
    from sagetrack.h2.front import Read
    from sagetrack.h2.mixed import Mixed
    from sagetrack.h2.tls import Keys

LOOK_S = 1.0  # between looks at the share of the newer format


def reader(config: Config) -> Read:
    """Reads calls of the newer format as those of the older one are read: one set of rules for both."""
    from sagetrack.h2.front import ReadError
    from sagetrack.h2.outcomes import Status

    def read(
        method: str, target: bytes, headers: list[Header], body: bytes, budget_us: int, client: Client
    ) -> Call:
        request = Request()
        request.method, request.target, request.body = method.encode(), target, [body] if body else []
        request.headers = [
            *headers, *([(b"X-Budget-Ms", b"%d" % max(1, budget_us // 1000))] if budget_us else [])
        ]  # fmt: skip
        try:
            return read_call(request, target.partition(b"?")[0], config, client)
        except RequestError as error:
            status = Status.UNIMPLEMENTED if error.status == 404 else Status.INVALID_ARGUMENT
            raise ReadError(status, str(error)) from None

    return read


class Newer:
    """Both formats behind one back, the share between them, and the keys."""

    def __init__(self, mixed: Mixed, on_list: OnList) -> None:
        self.mixed, self.tell = mixed, on_list
        self.loop = asyncio.get_running_loop()
        mixed.on_move = self.left
        self.timer = self.loop.call_later(LOOK_S, self.look)

    def on_list(self, kind: ListKind, entries: list[Entry]) -> None:
        """A list from discovery, weights turned for the share."""
        if kind is not ListKind.ERROR and kind is not ListKind.DELTA:
            self.mixed.entries.clear()
        self.tell(kind, self.mixed.weighed(entries))
        self.turn()

    def turn(self) -> None:
        changed = self.mixed.look()
        if changed:
            self.tell(ListKind.DELTA, changed)

    def look(self) -> None:
        self.timer = self.loop.call_later(LOOK_S, self.look)
        self.turn()

    def left(self) -> None:
        """The newer format fails more than the older one: at once, nothing goes there that need not."""
        hold_s = (self.mixed.move.held_until_us - self.mixed.move.old.at_us) / 1e6
        log(f"servers of the newer format fail more than the others: none of the share for {hold_s:.0f} s")
        self.loop.call_soon(self.turn)

    def figures(self) -> dict[str, float]:
        """For the stats."""
        move = self.mixed.move
        return self.mixed.new.figures() | {
            "new_failing": round(move.new.failing, 4), "old_failing": round(move.old.failing, 4),
            "new_returns_total": move.returns,
        }  # fmt: skip

    def close(self) -> None:
        self.timer.cancel()


def keys_for(operator: Operator | None) -> Keys | None:
    """The keys of the newer side, where it has TLS; ConfigError for bad ones."""
    asked = operator.newer if operator is not None else None
    if asked is None or not asked.tls:
        return None
    from sagetrack.h2.tls import Keys, KeysError

    try:
        return Keys(asked.ca, asked.certificate, asked.key)
    except KeysError as error:
        raise ConfigError(f"newer: {error}") from None


def renew(keys: Keys) -> None:
    """SIGHUP: read the keys again; bad ones are one line, and the old ones stay."""
    from sagetrack.h2.tls import KeysError

    try:
        keys.renew()
    except KeysError as error:
        log(f"the keys stay as they are: {error}")


def mixed_back(config: Config, operator: Operator | None, old: Back, keys: Keys | None) -> Mixed | None:
    """The back of both formats; None where the operator has no newer servers."""
    asked = operator.newer if operator is not None else None
    if asked is None or not asked.types:
        return None
    from sagetrack.h2.back import NewPools
    from sagetrack.h2.mixed import Mixed

    new = NewPools(config.settings, lambda: keys.context if keys is not None else None)
    kinds = [number_of(name, config.names.kinds) for name in asked.types]
    return Mixed(old, new, kinds, Move(asked.share), lambda: None)
