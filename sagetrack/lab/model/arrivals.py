"""The load: when requests arrive, and what each is drawn to be."""

from __future__ import annotations

import math
import random
from bisect import bisect
from collections.abc import Callable
from itertools import accumulate, pairwise

from sagetrack.lab.model.client_requests import ClientRequest
from sagetrack.lab.model.run_context import RunContext
from sagetrack.lab.model.scenario import RequestClass, ScheduledFault

LATE_US = 50_000  # an arrival that is played later than this past its time counts as late


class ClientPopulation:
    """The clients of a member, who are drawn by Zipf's law where their loads differ."""

    def __init__(self, count: int, skew: float) -> None:
        self.count = count
        self._cumulative = list(accumulate((rank + 1) ** -skew for rank in range(count))) if skew else []

    def draw(self, draw: random.Random) -> int:
        """Draw a client, from 1; 0 for a member without identified clients. Takes logarithmic time."""
        if not self.count:
            return 0
        if not self._cumulative:
            return draw.randrange(self.count) + 1
        return bisect(self._cumulative, draw.random() * self._cumulative[-1]) + 1


class ArrivalProcess:
    """Draws one arrival after the other, in an open loop; owns how far the run's load has come."""

    def __init__(self, context: RunContext, send: Callable[[ClientRequest], None]) -> None:
        scenario = context.scenario
        self.count = 0  # requests that have arrived
        self.finished = False  # no further request will arrive
        self._context = context
        self._send = send
        self._rate_per_us = scenario.rate / 1e6
        self._next_us = 0.0
        total = sum(kind.share for kind in scenario.classes)
        self._class_shares = [kind.share / total for kind in scenario.classes]
        loads = [member.load_share or member.share for member in scenario.tenants]
        self._member_shares = [load / sum(loads) for load in loads]
        self._populations = [ClientPopulation(member.clients, member.skew) for member in scenario.tenants]
        bursts = [fault for fault in scenario.faults if fault.kind == "burst"]
        self._bursts_of_all = [fault for fault in bursts if not fault.member]
        self._bursts_of_members = [fault for fault in bursts if fault.member]
        self._peak_factor = self._compute_peak_factor()

    def plan_next(self) -> None:
        """Draw the next arrival: a Poisson process at the peak rate, thinned (Lewis and Shedler, 1979)."""
        draw, peak = self._context.random.load, self._peak_factor
        end_us = self._context.scenario.seconds * 1e6
        if peak <= 0:
            self.finished = True
            return
        time_us = self._next_us
        while True:
            time_us += draw.expovariate(self._rate_per_us * peak)
            if time_us >= end_us:
                self.finished = True
                return
            if draw.random() * peak < self._factor(time_us):
                break
        self._next_us = time_us
        due_us = int(time_us)
        self._context.clock.call_at(due_us, lambda: self._arrive(due_us))

    def _compute_peak_factor(self) -> float:
        """The largest factor on the scenario's rate at any time."""
        peak = max((factor for _, factor in self._context.scenario.load.curve), default=1.0)
        peak *= max((burst.size for burst in self._bursts_of_all), default=1.0)
        starts_us = [int(burst.at_s * 1e6) for burst in self._bursts_of_members]
        member_peak = max((sum(self._member_loads(start_us)) for start_us in starts_us), default=1.0)
        return peak * max(1.0, member_peak)

    def _factor(self, time_us: float) -> float:
        """The factor on the scenario's rate at a time, by its curve and bursts."""
        second = time_us / 1e6
        factor = self._curve_factor(second)
        factor *= max((burst.size for burst in self._bursts_of_all if _is_on(burst, second)), default=1.0)
        if self._bursts_of_members:
            factor *= sum(self._member_loads(int(time_us)))
        return factor

    def _curve_factor(self, second: float) -> float:
        """The curve's value: straight lines between its points, constant beyond them."""
        curve = self._context.scenario.load.curve
        if not curve:
            return 1.0
        if second <= curve[0][0]:
            return curve[0][1]
        for (start, start_factor), (end, end_factor) in pairwise(curve):
            if not start <= second <= end:
                continue
            if end <= start:
                return end_factor
            return start_factor + (end_factor - start_factor) * (second - start) / (end - start)
        return curve[-1][1]

    def _member_loads(self, time_us: int) -> list[float]:
        """The load of each member, as a share of the usual load of all."""
        second = time_us / 1e6
        loads = []
        for share, member in zip(self._member_shares, self._context.scenario.tenants, strict=True):
            sizes = [
                burst.size
                for burst in self._bursts_of_members
                if burst.member == member.name and _is_on(burst, second)
            ]
            loads.append(share * max(sizes, default=1.0))
        return loads

    def _arrive(self, due_us: int) -> None:
        now = self._context.clock.now_us()
        if now - due_us > LATE_US:
            self._context.records.add("late", now, now - due_us)
        self.count += 1
        self._send(self._draw_request(due_us))
        self.plan_next()

    def _draw_request(self, created_us: int) -> ClientRequest:
        """Draw a request. The order of the draws is part of what a seed means."""
        scenario, draw = self._context.scenario, self._context.random.load
        class_index = draw.choices(range(len(self._class_shares)), self._class_shares)[0]
        shares = self._member_loads(created_us) if self._bursts_of_members else self._member_shares
        member_index = draw.choices(range(len(shares)), shares)[0]
        member = scenario.tenants[member_index]
        if member.kind:
            class_index = next(
                index for index, kind in enumerate(scenario.classes) if kind.name == member.kind
            )
        kind = scenario.classes[class_index]
        work_us = _draw_work_us(kind, draw)
        key = draw.getrandbits(53) if kind.effect == "keyed" else None
        zone = draw.randrange(self._context.zone_count)
        honor_share = scenario.clients.honor_share if member.honor_share is None else member.honor_share
        honors_retry_after = draw.random() < honor_share
        uses_keep_alive = draw.random() < scenario.clients.keep_alive_share
        if member.single_request:
            client = self.count
        else:
            client = self._populations[member_index].draw(self._context.random.client_identities)
        return ClientRequest(
            f"{self.count:x}",
            kind,
            class_index,
            member_index,
            zone,
            key,
            work_us,
            created_us,
            honors_retry_after,
            uses_keep_alive,
            client,
        )


def _draw_work_us(kind: RequestClass, draw: random.Random) -> float:
    """Draw a request's work on a standard core from the class's lognormal distribution."""
    deviation = math.sqrt(math.log(1.0 + kind.spread**2))
    return kind.work_ms * 1000 * math.exp(draw.gauss(-(deviation**2) / 2, deviation))


def _is_on(burst: ScheduledFault, second: float) -> bool:
    return burst.at_s <= second < burst.at_s + burst.seconds
