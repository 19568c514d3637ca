"""The load: draws the arrival times of requests and their properties."""

from __future__ import annotations

import math
import random
from bisect import bisect
from collections.abc import Callable
from itertools import accumulate, pairwise

from sagetrack.lab.model.client_requests import ClientRequest
from sagetrack.lab.model.run_context import RunContext
from sagetrack.lab.model.scenario import RequestClass, ScheduledFault

LATE_US = 50_000  # an arrival that is processed more than this after its due time is recorded as late


class ClientPopulation:
    """The clients of a tenant; their loads follow a Zipf distribution if `skew` is not 0."""

    def __init__(self, count: int, skew: float) -> None:
        self.count = count
        self._cumulative = list(accumulate((rank + 1) ** -skew for rank in range(count))) if skew else []

    def draw(self, draw: random.Random) -> int:
        """Draw a client number, from 1; 0 if the clients are not identified. Takes logarithmic time."""
        if not self.count:
            return 0
        if not self._cumulative:
            return draw.randrange(self.count) + 1
        return bisect(self._cumulative, draw.random() * self._cumulative[-1]) + 1


class ArrivalProcess:
    """Draws one arrival after the other, in an open loop, and counts them."""

    def __init__(self, context: RunContext, send: Callable[[ClientRequest], None]) -> None:
        scenario = context.scenario
        self.count = 0  # requests that have arrived
        self.finished = False  # no further request will arrive
        self._context = context
        self._send = send
        self._rate_per_us = scenario.rate / 1e6
        self._next_us = 0.0
        total = sum(request_class.share for request_class in scenario.classes)
        self._class_shares = [request_class.share / total for request_class in scenario.classes]
        loads = [tenant.load_share or tenant.share for tenant in scenario.tenants]
        self._tenant_shares = [load / sum(loads) for load in loads]
        self._populations = [ClientPopulation(tenant.clients, tenant.skew) for tenant in scenario.tenants]
        bursts = [fault for fault in scenario.faults if fault.kind == "burst"]
        self._global_bursts = [fault for fault in bursts if not fault.member]
        self._tenant_bursts = [fault for fault in bursts if fault.member]
        self._peak_factor = self._compute_peak_factor()

    def plan_next(self) -> None:
        """Schedule the next arrival of a Poisson process with a varying rate.

        Candidates are drawn at the peak rate and thinned (Lewis and Shedler, 1979).
        """
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
            if draw.random() * peak < self._rate_factor(time_us):
                break
        self._next_us = time_us
        due_us = int(time_us)
        self._context.clock.call_at(due_us, lambda: self._on_due(due_us))

    def _compute_peak_factor(self) -> float:
        """Return an upper bound of the rate factor over the run."""
        peak = max((factor for _, factor in self._context.scenario.load.curve), default=1.0)
        peak *= max((burst.size for burst in self._global_bursts), default=1.0)
        starts_us = [int(burst.at_s * 1e6) for burst in self._tenant_bursts]
        tenant_peak = max((sum(self._tenant_loads(start_us)) for start_us in starts_us), default=1.0)
        return peak * max(1.0, tenant_peak)

    def _rate_factor(self, time_us: float) -> float:
        """Return the factor by which the curve and the bursts multiply the scenario's rate at a time."""
        second = time_us / 1e6
        factor = self._curve_factor(second)
        factor *= max((burst.size for burst in self._global_bursts if _is_active(burst, second)), default=1.0)
        if self._tenant_bursts:
            factor *= sum(self._tenant_loads(int(time_us)))
        return factor

    def _curve_factor(self, second: float) -> float:
        """Interpolate the curve linearly between its points; it is constant outside of them."""
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

    def _tenant_loads(self, time_us: int) -> list[float]:
        """Return the load of each tenant, as a share of the total load without bursts."""
        second = time_us / 1e6
        loads = []
        for share, tenant in zip(self._tenant_shares, self._context.scenario.tenants, strict=True):
            sizes = [
                burst.size
                for burst in self._tenant_bursts
                if burst.member == tenant.name and _is_active(burst, second)
            ]
            loads.append(share * max(sizes, default=1.0))
        return loads

    def _on_due(self, due_us: int) -> None:
        now = self._context.clock.now_us()
        if now - due_us > LATE_US:
            self._context.records.add("late", now, now - due_us)
        self.count += 1
        self._send(self._draw_request(due_us))
        self.plan_next()

    def _draw_request(self, created_us: int) -> ClientRequest:
        """Draw a request. The order of the draws must not change: it determines the results of a seed."""
        scenario, draw = self._context.scenario, self._context.random.load
        class_index = draw.choices(range(len(self._class_shares)), self._class_shares)[0]
        shares = self._tenant_loads(created_us) if self._tenant_bursts else self._tenant_shares
        tenant_index = draw.choices(range(len(shares)), shares)[0]
        tenant = scenario.tenants[tenant_index]
        if tenant.kind:
            class_index = next(
                index for index, class_ in enumerate(scenario.classes) if class_.name == tenant.kind
            )
        request_class = scenario.classes[class_index]
        work_us = _draw_work_us(request_class, draw)
        key = draw.getrandbits(53) if request_class.effect == "keyed" else None
        zone = draw.randrange(self._context.zone_count)
        honor_share = scenario.clients.honor_share if tenant.honor_share is None else tenant.honor_share
        honors_retry_after = draw.random() < honor_share
        uses_keep_alive = draw.random() < scenario.clients.keep_alive_share
        if tenant.single_request:
            client = self.count
        else:
            client = self._populations[tenant_index].draw(self._context.random.client_identities)
        return ClientRequest(
            f"{self.count:x}",
            request_class,
            class_index,
            tenant_index,
            zone,
            key,
            work_us,
            created_us,
            honors_retry_after,
            uses_keep_alive,
            client,
        )


def _draw_work_us(request_class: RequestClass, draw: random.Random) -> float:
    """Draw the CPU time of a request on a standard core from the lognormal distribution of its class."""
    deviation = math.sqrt(math.log(1.0 + request_class.spread**2))
    return request_class.work_ms * 1000 * math.exp(draw.gauss(-(deviation**2) / 2, deviation))


def _is_active(burst: ScheduledFault, second: float) -> bool:
    return burst.at_s <= second < burst.at_s + burst.seconds
