"""Replay tests: the load balancer makes the same decisions as at commit 9fea688, action by action.

A day is a seeded sequence of endpoint lists, requests, outcomes, timers, server failures and peer
observations for one load balancer. Its actions are hashed as the numbers and identifiers that `digest_form`
returns, so that renaming a class or a field changes no digest. The events depend on the balancer's actions,
so after the first action that differs everything differs. The digest at the end of each quarter of a day
shows in which quarter that was.

No day contains a failed poll of discovery, a list from disk or more than three gateways, because decisions
about those may change on purpose. If any other decision is changed on purpose, say so in the commit and print
new digests with `python -m tests.test_replay`. For the digests of an older commit, copy this file into a
worktree of that commit and run it there.
"""

from __future__ import annotations

import hashlib
import heapq
import random
import re
from dataclasses import replace

import pytest

from sagetrack.policy.actions import (
    Action,
    Cancel,
    Fail,
    Log,
    Reject,
    RejectReason,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
from sagetrack.policy.admission import AdmissionSettings
from sagetrack.policy.events import (
    AttemptEnded,
    AttemptSent,
    EndpointList,
    Event,
    FleetSizeChanged,
    ListedServer,
    ListKind,
    ObservationsReceived,
    Outcome,
    PeerDemands,
    ProcessCountChanged,
    RequestArrived,
    RequestCancelled,
    ServerStatus,
    ShutdownStarted,
    StreamStarted,
    TenantSharesChanged,
    TimerFired,
    TrafficShift,
)
from sagetrack.policy.load_balancer import LoadBalancer
from sagetrack.policy.peer_observations import CLOSED, OPEN, ClassLatency, Observation
from sagetrack.policy.settings import Effect, Goal, Prices, RequestClass, Scope, Settings, Tenant
from tests.helpers import KEYED, SAFE, START_US, UNSAFE

EVENTS = 6000  # per day
QUARTERS = 4
ZONE_KEYED = replace(KEYED, scope=Scope.ZONE, window_us=500_000)
ALL_KEYED = replace(KEYED, scope=Scope.ALL, window_us=500_000)
ORDERED = RequestClass(
    latency_objective_us=300_000,
    request_timeout_us=900_000,
    priority_weight=2.0,
    effect=Effect.SAFE,
    in_order=True,
)
CLASSES = (SAFE, replace(KEYED, window_us=500_000), ZONE_KEYED, UNSAFE)
TENANTS = tuple(Tenant(share) for share in (0.4, 0.3, 0.15, 0.1, 0.05))
PLAIN = Settings(classes=CLASSES, hedging=True)
WITH_TENANTS = replace(PLAIN, tenants=TENANTS, over_quota_priority=0.2)
WARMING_UP = replace(
    WITH_TENANTS,
    start_capacity=0.1,
    warm_after_us=8_000_000,
    overload_multiple=2.0,
    overload_window_us=500_000,
    prices=Prices(cross_zone=0.05),
    warm_keys=True,
)
WITH_ADMISSION_CONTROL = replace(WARMING_UP, admission=AdmissionSettings(), clients_mark_retries=True)
DAYS: dict[str, tuple[Settings, int]] = {  # settings and number of servers
    "plain": (PLAIN, 12),
    "keyed": (
        replace(PLAIN, classes=(CLASSES[1], ZONE_KEYED, ALL_KEYED), gateway_count=3, gateway_index=1),
        40,
    ),
    "tenants": (replace(WITH_TENANTS, gateway_count=2, gateway_index=1, goal=Goal(1.0, 0.5, 0.5)), 20),
    "cold": (replace(WARMING_UP, gateway_count=3, gateway_index=2), 30),
    "ordered": (replace(WITH_TENANTS, classes=(*CLASSES, ORDERED), key_cooldown_us=50_000), 9),
    "formats": (
        replace(WARMING_UP, grpc_kinds=frozenset({1}), gateway_count=3, gateway_index=1, lossy=True),
        24,
    ),
    "door": (replace(WITH_ADMISSION_CONTROL, gateway_count=2, gateway_index=0), 16),
    "small-door": (replace(WITH_ADMISSION_CONTROL, tenants=TENANTS[:2], max_concurrency=2.0), 6),
}
SEEDS = (1, 2, 3)
# Actions are hashed by a reason's position in this tuple: never reorder it.
REASONS = (
    RejectReason.SHED,
    RejectReason.NO_CAPACITY,
    RejectReason.QUEUE,
    RejectReason.ATTEMPTS_FAILED,
    RejectReason.OTHER,
)
LOG_VALUES = re.compile(r"\d[\d.]*|open|closed|class")  # values in a log line, without its wording


def digest_form(action: Action) -> tuple[object, ...]:
    """Return an action as a type number and its values in a fixed order, all of built-in types."""
    if isinstance(action, SendAttempt):
        return 1, action.request, action.server, action.timeout_us, action.begin_by_us
    if isinstance(action, Reject):
        return 2, action.request, action.retry_after_us, REASONS.index(action.reason)
    if isinstance(action, Fail):
        return 3, action.request
    if isinstance(action, Cancel):
        return 4, action.request, action.attempt
    if isinstance(action, SetTimer):
        return 5, action.due_us, action.token
    if isinstance(action, WatchEndpoints):
        return 6, action.on
    if isinstance(action, Log):
        return 7, action.server, *LOG_VALUES.findall(action.line)
    raise AssertionError(f"no digest form is defined for the action {action!r}")


class Day:
    """Generates events for one load balancer from a seed and from the balancer's actions."""

    def __init__(self, settings: Settings, servers: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.settings = settings
        self.balancer = LoadBalancer(settings, seed)
        self.now_us = START_US
        self.entries: dict[int, ListedServer] = {}
        self.server_count = servers
        self.next_server = 0
        self.next_request = 0
        self.in_flight: list[tuple[SendAttempt, int, int]] = []  # attempt, its number and send time
        self.attempts: dict[str, int] = {}  # attempts so far by request, until its final response
        self.timers: list[tuple[int, int]] = []
        self.slow_until_us = 0
        self.failing: set[int] = set()  # servers with a high failure rate
        self.digest = hashlib.blake2b(digest_size=8)
        self.counts: dict[str, int] = {}

    def handle(self, event: Event) -> None:
        """Pass an event to the balancer, hash its actions and update the state that depends on them."""
        for action in self.balancer.handle(self.now_us, event):
            self.digest.update(repr(digest_form(action)).encode())
            name = type(action).__name__
            self.counts[name] = self.counts.get(name, 0) + 1
            if isinstance(action, SendAttempt):
                number = self.attempts.get(action.request, 0)
                if number:
                    self.counts["further"] = self.counts.get("further", 0) + 1
                self.attempts[action.request] = number + 1
                self.in_flight.append((action, number, self.now_us))
            elif isinstance(action, SetTimer):
                heapq.heappush(self.timers, (action.due_us, action.token))
            elif isinstance(action, Reject | Fail):
                self.attempts.pop(action.request, None)
            elif isinstance(action, Cancel):
                for sent in self.in_flight:
                    if sent[0].request == action.request and sent[1] == action.attempt:
                        self.end(sent, Outcome.CANCELLED)
                        break

    def end(self, sent: tuple[SendAttempt, int, int], outcome: Outcome) -> None:
        """End an attempt with an outcome."""
        self.in_flight.remove(sent)
        send, number, sent_us = sent
        is_ok = outcome is Outcome.OK
        if is_ok:
            self.attempts.pop(send.request, None)
        self.handle(AttemptEnded(send.request, number, send.server, outcome, self.now_us - sent_us, is_ok))

    # Events

    def arrive(self) -> None:
        """Let a random request arrive."""
        rng = self.random
        class_index = rng.randrange(len(self.settings.classes))
        request_class = self.settings.classes[class_index]
        is_retry = rng.random() < 0.1
        client_timeout_us = request_class.request_timeout_us // (2 if is_retry else 1)
        self.next_request += 1
        name = f"r{self.next_request}"
        tenant = min(rng.randrange(6), rng.randrange(6))
        key = rng.randrange(12) if rng.random() < 0.6 else None
        self.handle(
            RequestArrived(
                name,
                class_index,
                client_timeout_us,
                key,
                int(rng.expovariate(1 / 8000)) or None,
                is_retry,
                tenant,
                uploading=rng.random() < 0.02,
                client=rng.randrange(20),
                mirror_target=rng.randrange(2) if self.settings.grpc_kinds and rng.random() < 0.05 else -1,
            )
        )

    def end_attempt(self) -> None:
        """End one of the oldest attempts, more often with a failure at a failing server."""
        if not self.in_flight:
            return
        sent = self.random.choice(self.in_flight[:4])
        draw, failure_rate = self.random.random(), 0.6 if sent[0].server in self.failing else 0.06
        if sent[0].server not in self.entries:
            outcome = Outcome.CONNECT_FAILED
        elif draw < failure_rate:
            failures = (
                Outcome.ERROR,
                Outcome.RESET,
                Outcome.REJECTED,
                Outcome.CONNECT_FAILED,
                Outcome.NOT_SENT,
            )
            outcome = self.random.choice(failures)
        else:
            outcome = Outcome.OK
        self.end(sent, outcome)

    def make_entry(self, number: int) -> ListedServer:
        """Return a random list entry of a server."""
        rng = self.random
        is_warming_up = self.settings.warm_after_us and rng.random() < 0.5
        # Zero means long ago. A random number is drawn in both cases, so that the sequence stays the same.
        started_us = self.now_us - rng.randrange(2_000_000) if is_warming_up else 0 * rng.randrange(2)
        return ListedServer(
            number,
            weight=rng.choice((1.0, 1.0, 0.5, 2.0)),
            zone=rng.randrange(3),
            group=rng.randrange(4),
            kind=rng.randrange(2),
            started_us=started_us,
        )

    def list_all(self) -> None:
        """Deliver a full list, after adding new servers up to the configured number."""
        while len(self.entries) < self.server_count:
            self.entries[self.next_server] = self.make_entry(self.next_server)
            self.next_server += 1
        self.handle(EndpointList(ListKind.FULL, tuple(self.entries.values())))

    def change_list(self) -> None:
        """Change one to three entries: restart, new zone or weight, draining, gone, ready again or new."""
        rng, changed = self.random, []
        for _ in range(rng.randrange(1, 4)):
            choice = rng.randrange(6)
            number = rng.choice(list(self.entries)) if self.entries else self.next_server
            if choice == 0 or number not in self.entries:
                number = self.next_server
                self.next_server += 1
            entry = self.make_entry(number)
            if number in self.entries and choice in (1, 2):
                entry = replace(entry, started_us=self.entries[number].started_us)
            if choice == 3:
                entry = replace(self.entries[number], status=ServerStatus.DRAINING)
            elif choice == 4 and len(self.entries) > 3:
                entry = ListedServer(number, ServerStatus.GONE)  # such an entry has no other fields
            elif choice == 5:
                entry = replace(self.entries[number], status=ServerStatus.READY)
            if entry.status is ServerStatus.GONE:
                del self.entries[number]
            else:
                self.entries[number] = entry
            changed.append(entry)
        if rng.random() < 0.1:
            changed.append(ListedServer(10_000, ServerStatus.GONE))  # it was never listed
        self.handle(EndpointList(ListKind.DELTA, tuple(changed)))

    def receive_observations(self) -> None:
        """Deliver peers' observations of up to five servers."""
        rng, observations = self.random, []
        for number in rng.sample(list(self.entries), min(5, len(self.entries))):
            state = OPEN if rng.random() < 0.4 else CLOSED
            by = rng.randrange(1, 4)
            seen_us, cooldown_us = self.now_us - rng.randrange(1_000_000), rng.randrange(1, 2_000_000)
            observations.append(
                Observation(
                    number,
                    self.entries[number].started_us,
                    by,
                    seen_us,
                    state,
                    self.now_us + cooldown_us,
                    rng.uniform(0.05, 1.0),
                    rng.random() < 0.2,
                    0,
                )
            )
        self.handle(ObservationsReceived(tuple(observations), (ClassLatency(0, 9_000.0, 7_000.0),)))

    def deliver_rare_event(self) -> None:
        """Deliver a random event of a rare type."""
        rng, choice = self.random, self.random.randrange(9)
        unanswered = [sent for sent in self.in_flight if sent[0].request in self.attempts]
        if choice == 0 and self.attempts:
            name = rng.choice(list(self.attempts))
            self.attempts.pop(name)
            self.handle(RequestCancelled(name))
        elif choice == 1 and unanswered:
            sent = rng.choice(unanswered)
            self.handle(StreamStarted(sent[0].request, sent[1]))
        elif choice == 2:
            self.receive_observations()
        elif choice == 3:
            self.handle(FleetSizeChanged(rng.randrange(1, self.settings.gateway_count + 1)))
        elif choice == 4:
            self.handle(ProcessCountChanged(rng.randrange(1, 3)))
        elif choice == 5:
            self.failing = set(rng.sample(list(self.entries), min(3, len(self.entries))))
        elif choice == 6:
            self.slow_until_us = self.now_us + 1_000_000
        elif choice == 7 and self.settings.admission is not None:
            shares = tuple(t.share * rng.uniform(0.5, 1.0) for t in self.settings.tenants)
            self.handle(TenantSharesChanged(shares))
            self.handle(PeerDemands(rng.randrange(3), tuple(rng.uniform(0, 9000) for _ in shares)))
        elif choice == 8 and self.settings.grpc_kinds:
            self.handle(TrafficShift({0: (0.5, 1.5)}, {1: (1.0, 0.0)}))

    def fire_timers(self) -> None:
        """Fire due timers and time out attempts."""
        while self.timers and self.timers[0][0] <= self.now_us:
            self.handle(TimerFired(heapq.heappop(self.timers)[1]))
        for sent in [s for s in self.in_flight if s[2] + s[0].timeout_us <= self.now_us]:
            if sent in self.in_flight:
                self.end(sent, Outcome.TIMEOUT)

    def deliver_random_event(self, slow: bool) -> None:
        """Deliver a random event of a common type, or sometimes of a rare one."""
        draw = self.random.random()
        if draw < 0.45:
            self.arrive()
        elif draw < (0.6 if slow else 0.96):
            self.end_attempt()
        elif draw < 0.975:
            self.change_list()
        elif draw > 0.998:
            self.list_all()
        elif draw > 0.975:
            self.deliver_rare_event()

    def run(self) -> list[str]:
        """Run the day; return the digest of all actions so far at the end of each quarter."""
        rng, digests = self.random, []
        self.list_all()
        for number in range(1, EVENTS + 1):
            slow = self.now_us < self.slow_until_us
            self.now_us += int(rng.expovariate(1 / 3000))
            self.fire_timers()
            self.deliver_random_event(slow)
            for sent in self.in_flight[:1]:
                if rng.random() < 0.2:
                    self.handle(AttemptSent(sent[0].request, sent[1]))
            if number == EVENTS:
                self.handle(ShutdownStarted(self.now_us + 100_000))
            if number % (EVENTS // QUARTERS) == 0:
                digests.append(self.digest.hexdigest())
        return digests


DIGESTS: dict[str, list[str]] = {
    "plain 1": ["b8cad2bf0120fd29", "6720e428ce97b219", "b4e0e5d002293ced", "4ffc1f5b4dda553c"],
    "plain 2": ["81d4fd2e931275b7", "bf49c9a5783fb97b", "69f56d62d34537c5", "29d9a14a6765db22"],
    "plain 3": ["1f740e134817524e", "09414f7a38428212", "3e5b20849e17ba75", "46cac8dab0d4c768"],
    "keyed 1": ["eafdbb1445434e11", "d77b94d4330628ad", "88098055cb0ffabb", "ef8fcebfce4c4bdc"],
    "keyed 2": ["b8c02103a815b233", "94a0518291b5f554", "d446233ebca122c9", "c0cf208e11ec8684"],
    "keyed 3": ["8ffad71d9f344a7c", "aa07a132914e2c67", "5be36c407fba5436", "22793852019bacbe"],
    "tenants 1": ["13f6977822056caf", "0093212b50c13ed1", "cb697b82abac84ea", "02b5ddc960919a9e"],
    "tenants 2": ["6f22357382f3d7b4", "d6f10b1325e338e0", "61e12e6c02b44c73", "75e06592c1f4d6a6"],
    "tenants 3": ["de13d9976cfab641", "d704cd06dffa6b25", "b1404e34ddd11271", "3eccae2df6e3302f"],
    "cold 1": ["ab6d945271936e65", "586fb13fe176a75e", "8c3f334b63a0481c", "688262e03d8a4d33"],
    "cold 2": ["0f4251dc6bef47c3", "168c69d034049d09", "e208e9dab308a857", "aa5363080b4cc161"],
    "cold 3": ["465759d9c3e7796d", "3577ade6ed9501b9", "3d15e3f5d13e3d52", "fac09b35fb89378e"],
    "ordered 1": ["942516479009789f", "af4b68285ea7994c", "7317dcc7f1d500f0", "2c3b3c57ebd09954"],
    "ordered 2": ["47d508cb36fb7468", "8a396eee833d0cbb", "90b204a7a585d311", "f4b5ca6cd4dc5111"],
    "ordered 3": ["6ca21e47cc499379", "ee7dc11930230ed2", "1a800d587ee4b0a7", "08e1caa0cb066316"],
    "formats 1": ["fdf1b9ccddd870c9", "4c5acf506b9d553b", "b524dde0b72cda89", "bf90c6ccc4337c72"],
    "formats 2": ["78e9fbd591251def", "15c8113a5f52f2b6", "cfc99ecb66c73245", "feefb1a49468d928"],
    "formats 3": ["3aee80e520997f51", "a121024c9e4e6531", "dde2f9972b436e6d", "440f85f80a3d1355"],
    "door 1": ["80a84692682239eb", "01ec619e02376e19", "66123c4635178475", "f5a26578b04eea4a"],
    "door 2": ["2a02afffadea455b", "20fd4421994ebeff", "a4bbde8d9197818b", "8f4c16bcac9ff429"],
    "door 3": ["738257715f8fdd60", "0c512c29c8c9624d", "a2ec9aa4f7e76140", "a4d7c683a445553a"],
    "small-door 1": ["d7e810c76b708d50", "60ec5c30c36cc9c4", "78735b1371cbb6fd", "487904048a4ec4f7"],
    "small-door 2": ["0db9530e1ab230f3", "b07d62e363e00c49", "02564bd240d44240", "202b1977b1385db5"],
    "small-door 3": ["804d25bdb739b498", "b53faff832b55858", "6460a51c73f4fe40", "178806257704845c"],
}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", DAYS)
def test_decisions_are_the_same_as_recorded(name: str, seed: int) -> None:
    day = Day(*DAYS[name], seed)
    assert day.run() == DIGESTS[f"{name} {seed}"], "the first digest that differs shows the quarter"
    # A day with hardly any actions would prove nothing.
    assert day.counts["SendAttempt"] > 500 and day.counts["Reject"] > 10 and day.counts["further"] > 20


if __name__ == "__main__":
    for day_name, (day_settings, server_count) in DAYS.items():
        for day_seed in SEEDS:
            digests = Day(day_settings, server_count, day_seed).run()
            print(f'    "{day_name} {day_seed}": {digests},'.replace("'", '"'))
