"""Who may ask, and how much: access by prefix, answers and queries in work for each client. No I/O, no clock.

Response rate limiting guards third parties: a forged source gets few answers, every other one cut short with
TC, which a true client follows up over TCP (as in BIND's and NSD's published descriptions). The tables are
bounded.
"""

from __future__ import annotations

import ipaddress
from collections import OrderedDict
from collections.abc import Iterable
from enum import Enum

TABLE = 20_000  # prefixes whose answers are counted
V4_PREFIX, V6_PREFIX = 24, 56


class Verdict(Enum):
    ANSWER = "answer"
    CUT = "cut"  # answer with TC and nothing else
    DROP = "drop"


class Access:
    """Prefixes that may ask; the longest match decides, and where none matches nobody may."""

    def __init__(self, allowed: Iterable[str], denied: Iterable[str] = ()) -> None:
        rules = [(ipaddress.ip_network(prefix, strict=False), True) for prefix in allowed]
        rules += [(ipaddress.ip_network(prefix, strict=False), False) for prefix in denied]
        self.rules = sorted(rules, key=lambda rule: -rule[0].prefixlen)
        self.known: OrderedDict[str, bool] = OrderedDict()

    def allows(self, host: str) -> bool:
        found = self.known.get(host)
        if found is None:
            address = ipaddress.ip_address(host.partition("%")[0])
            found = next(
                (may for net, may in self.rules if net.version == address.version and address in net), False
            )
            self.known[host] = found
            if len(self.known) > TABLE:
                self.known.popitem(last=False)
        return found


class ResponseRate:
    """So many answers a second to one prefix over UDP."""

    def __init__(self, per_s: float, burst: float | None = None) -> None:
        self.per_s = per_s
        self.burst = burst if burst is not None else 2 * per_s
        self.table: OrderedDict[bytes, list[float]] = OrderedDict()
        self.cut = self.dropped = 0

    @staticmethod
    def prefix(host: str) -> bytes:
        address = ipaddress.ip_address(host.partition("%")[0])
        return address.packed[: (V4_PREFIX if address.version == 4 else V6_PREFIX) // 8]

    def judge(self, host: str, now_us: int) -> Verdict:
        """What to do with one answer to this host."""
        if self.per_s <= 0:
            return Verdict.ANSWER
        key = self.prefix(host)
        bucket = self.table.get(key)
        if bucket is None:
            bucket = self.table[key] = [self.burst, now_us, 0.0]
            if len(self.table) > TABLE:
                self.table.popitem(last=False)
        else:
            self.table.move_to_end(key)
        bucket[0] = min(self.burst, bucket[0] + (now_us - bucket[1]) / 1e6 * self.per_s)
        bucket[1] = now_us
        if bucket[0] >= 1.0:
            bucket[0] -= 1.0
            return Verdict.ANSWER
        bucket[2] += 1.0
        if int(bucket[2]) % 2:
            self.cut += 1
            return Verdict.CUT
        self.dropped += 1
        return Verdict.DROP


class InWork:
    """Queries in work for each client, bounded for each and in all."""

    def __init__(self, each: int, total: int) -> None:
        self.each, self.total = each, total
        self.counts: dict[str, int] = {}
        self.sum = 0

    def enter(self, host: str) -> bool:
        """Count one more; False if that is too many."""
        if self.sum >= self.total or self.counts.get(host, 0) >= self.each:
            return False
        self.counts[host] = self.counts.get(host, 0) + 1
        self.sum += 1
        return True

    def leave(self, host: str) -> None:
        left = self.counts[host] - 1
        self.sum -= 1
        if left:
            self.counts[host] = left
        else:
            del self.counts[host]
