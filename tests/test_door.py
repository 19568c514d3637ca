"""Fair queues, limits and promises: the rules by themselves, the module with them, and a gateway's door."""

from __future__ import annotations

import random
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sagetrack.config.errors import FileError
from sagetrack.config.operator import load as load_operator
from sagetrack.config.platform import ConfigError, parse
from sagetrack.lab.figures import figures
from sagetrack.lab.judges import judge
from sagetrack.lab.scenario import altered, load
from sagetrack.lab.virtual import play
from sagetrack.peers.codec import Datagram, decode, encode
from sagetrack.peers.demand_gossip import PLACES, Herald, demands_in, wanted
from sagetrack.policy.admission import AdmissionController, AdmissionDenial, AdmissionSettings
from sagetrack.policy.concurrency_limit import (
    ConcurrencyLimit,
    Rate,
    RateLimiter,
    RepeatBudget,
    Reservations,
    TenantDemand,
)
from sagetrack.policy.fair_queue import FairQueues, fair_parts
from sagetrack.policy.interface import (
    Action,
    AttemptEnded,
    Effect,
    EndpointList,
    Event,
    ListedServer,
    ListKind,
    Outcome,
    PeerDemands,
    Reject,
    RequestArrived,
    RequestClass,
    SendAttempt,
    SetTimer,
    Settings,
    Tenant,
    TenantSharesChanged,
    TimerFired,
)
from sagetrack.policy.load_balancer import LoadBalancer
from sagetrack.server.admission_settings import tenant_shares, with_admission
from sagetrack.server.reload import read_operator
from tests.sockets import configuration, on_loop, request, running

SCENARIOS = Path(__file__).resolve().parent.parent / "scenarios"
SECOND = 1_000_000


def served(queues: FairQueues[str], count: int) -> list[str]:
    found = []
    for _ in range(count):
        item = queues.first()
        assert item is not None
        queues.serve(item)
        found.append(item)
    return found


def test_work_and_not_requests_is_shared_by_weight_and_evenly_within() -> None:
    queues: FairQueues[str] = FairQueues([3.0, 1.0])
    for n in range(300):
        queues.push(f"a{n}", 0, n % 2, 30.0, 1.0, n)  # its calls cost three times as much
        queues.push(f"b{n}", 1, 7, 10.0, 1.0, n)
    first = served(queues, 200)
    work = {who: sum(30 if i[0] == "a" else 10 for i in first if i[0] == who) for who in "ab"}
    assert work["a"] / work["b"] == pytest.approx(3.0, rel=0.1)
    clients = [int(i[1:]) % 2 for i in first if i[0] == "a"]
    assert abs(clients.count(0) - clients.count(1)) <= 1


def test_an_idle_share_is_lent_and_is_back_at_the_next_turn() -> None:
    queues: FairQueues[str] = FairQueues([1.0, 1.0])
    for n in range(50):
        queues.push(f"a{n}", 0, 1, 10.0, 1.0, n)
    assert all(i[0] == "a" for i in served(queues, 20))
    for n in range(10):
        queues.push(f"b{n}", 1, 1, 10.0, 1.0, n)
    assert sum(i[0] == "b" for i in served(queues, 10)) in (5, 6)  # its share, and no more for having waited


def test_worth_comes_first_within_a_flow_then_what_is_due_and_what_left_is_passed_over() -> None:
    queues: FairQueues[str] = FairQueues([1.0])
    for name, worth, due in (("low", 1.0, 1), ("late", 2.0, 9), ("soon", 2.0, 3), ("gone", 9.0, 1)):
        queues.push(name, 0, 1, 1.0, worth, due)
    assert queues.remove("gone") and not queues.remove("gone")
    assert served(queues, 3) == ["soon", "late", "low"] and queues.first() is None and queues.work_us == 0


STEP = st.tuples(st.integers(0, 2), st.integers(0, 9), st.floats(1, 100), st.booleans())


@given(st.lists(STEP, max_size=80))
def test_whatever_comes_and_goes_everything_is_served_once_and_counts_return_to_nothing(
    steps: list[tuple[int, int, float, bool]],
) -> None:
    queues: FairQueues[str] = FairQueues([1.0, 2.0, 5.0], flows=4)
    waiting: set[str] = set()
    for number, (member, client, work, take) in enumerate(steps):
        queues.push(str(number), member, client, work, 1.0, number)
        waiting.add(str(number))
        if take:
            waiting.remove(served(queues, 1)[0])
        assert queues.ahead_us(member, client) <= queues.work_us + 1e-6
    assert set(served(queues, len(waiting))) == waiting and not len(queues)
    assert queues.waiting_share == pytest.approx(0.0) and all(m.waiting == 0 for m in queues.members)


@given(
    st.lists(st.tuples(st.floats(0, 1e6), st.floats(0.01, 100)), min_size=1, max_size=8), st.floats(0, 2e6)
)
def test_fair_parts_are_max_min_fair(rows: list[tuple[float, float]], capacity: float) -> None:
    demands, shares = [r[0] for r in rows], [r[1] for r in rows]
    parts = fair_parts(demands, shares, capacity)
    assert sum(parts) <= min(capacity, sum(demands)) * (1 + 1e-9) + 1e-6
    assert all(p <= d + 1e-6 for p, d in zip(parts, demands, strict=True))
    cut = [p / s for p, d, s in zip(parts, demands, shares, strict=True) if p < d - 1e-3]
    for part, share in zip(parts, shares, strict=True):  # nobody has more for its share than who is cut
        assert not cut or part / share <= min(cut) * (1 + 1e-6) + 1e-3


def test_a_bucket_lets_a_burst_through_and_a_jump_of_the_clock_no_more() -> None:
    buckets = RateLimiter(Rate(10.0, 3.0), 100)

    def burst(now: int) -> int:
        count = 0
        while not buckets.wait_us("k", now):
            buckets.take("k", now)
            count += 1
        return count

    assert burst(SECOND) == 3
    wait = buckets.wait_us("k", SECOND)
    assert 0 < wait <= 100_000 and burst(SECOND + wait) == 1
    assert burst(60 * SECOND) == 3  # however long it was
    for n in range(1000):
        buckets.take(n, 60 * SECOND)
    assert len(buckets.table) <= 100


def test_one_members_repeats_do_not_use_up_anothers() -> None:
    budget = RepeatBudget(2, part=0.5, burst=4)
    assert [budget.repeat(0) for _ in range(6)] == [True] * 4 + [False] * 2
    assert budget.repeat(1)
    for _ in range(2):
        budget.first(0)
    assert budget.repeat(0) and not budget.repeat(0)


def test_the_limit_falls_with_latency_and_rises_when_it_is_used_in_calm() -> None:
    limit = ConcurrencyLimit(first=50)
    for _ in range(2000):
        limit.learn(500_000, 50_000, int(limit.limit))
    low = limit.limit
    for _ in range(2000):
        limit.learn(50_000, 50_000, 1)
    idle = limit.limit
    for _ in range(5000):
        limit.learn(50_000, 50_000, int(limit.limit))
    assert low < 10 and idle < 10 and limit.limit > 30


def test_calls_that_hang_at_a_few_servers_leave_the_others_their_places() -> None:
    limit = ConcurrencyLimit(first=50)
    limit.least = 9.0
    for _ in range(5000):
        limit.learn(9_000_000, 50_000, 9)
    assert limit.has_room(8) and not limit.has_room(9)
    for n in range(5000):  # one answer in five is from a server that hangs
        limit.learn(9_000_000 if n % 5 == 0 else 50_000, 50_000, int(limit.limit))
    assert limit.limit > 40


def test_who_is_over_its_part_is_looked_at_now_and_then_and_not_with_each_call() -> None:
    levels = TenantDemand([1.0, 1.0])
    for n in range(1000):  # cheap calls and dear ones are refused at rates of their own, by turns
        levels.add(n % 2, n % 50, 100.0 + n % 2 * 900.0, n * 500)
        levels.beyond(n % 2, n % 50, 0.95 if n % 3 else 0.1, n * 500, bool(n % 3))
    assert levels.looked <= 2 * (500_000 // 50_000 + 1)
    assert levels.looks[True].over[1] > levels.looks[True].over[0]


def test_an_address_is_not_taken_for_one_client_that_comes_too_early() -> None:
    door: AdmissionController[str] = AdmissionController(AdmissionSettings(), [1.0])
    for client, key, repeat, early in ((-5, 0, False, False), (5, 0, False, True), (-5, 7, False, True)):
        told = door.advise(0, 0, client, key, 400_000.0, 0.0, 8 * SECOND, 8 * SECOND)
        verdict = door.arrive(told // 10, 0, client, key, 0, 1000.0, repeat)
        assert (verdict is not False) == early, (client, verdict)


def test_promises_stand_in_line_and_who_comes_early_still_has_to_wait() -> None:
    promises = Reservations(1, 100)
    waits = [promises.promise(0, n, n, 0, 0.0, 200_000, 0.0, 8 * SECOND, 8 * SECOND) for n in range(1, 4)]
    assert [round(w, -5) for w in waits] == [0, 200_000, 400_000]
    assert promises.comes(0, 3, 3, 100_000) == pytest.approx(300_000, abs=1000)
    assert promises.comes(0, 3, 3, 390_000) == 0 and promises.comes(0, 3, 3, 390_000) is None
    assert promises.comes(0, 9, 9, 390_000) is None
    line = promises.line_us[0]
    assert promises.promise(0, 5, 5, 0, 9 * SECOND, 1, 0.0, 8 * SECOND, 8 * SECOND) == 8 * SECOND
    assert promises.promise(0, 5, 5, 0, SECOND, 1, 0.0, 8 * SECOND, 10) >= SECOND  # it will have given up
    assert promises.line_us[0] == line and promises.count == 2  # neither lengthens the line
    for n in range(200):
        promises.promise(0, 5, n, 0, 0.0, 1, 0.0, 8 * SECOND, 8 * SECOND)
    assert promises.each[0, 5] == 64  # one client's haste does not lengthen the line without end
    promises.comes(0, 77, 0, 60 * SECOND)
    assert promises.count < 66  # what nobody came for is void


def test_a_members_share_is_split_over_gateways_by_demand_and_is_whole_without_word() -> None:
    levels = TenantDemand([1.0, 1.0])
    levels.add(0, 1, 100_000, SECOND)
    levels.add(1, 1, 100_000, SECOND)
    assert levels.local_shares(SECOND, 8) == [1.0, 1.0]
    levels.hear(3, [900_000.0, 0.0], SECOND)
    assert levels.local_shares(SECOND, 2) == pytest.approx([0.1, 1.0])
    assert levels.local_shares(9 * SECOND, 2) == [1.0, 1.0]  # the other has fallen silent
    levels.hear(4, [1.0], SECOND)  # of other settings
    assert 4 not in levels.elsewhere


def test_demands_fit_into_a_datagram_and_few_are_told_at_a_time() -> None:
    message = wanted([float(n) * 1e6 for n in range(1000)])
    assert message is not None and len(message.demands) == PLACES
    again = decode(encode(Datagram(1, 2, [message]))).messages[0]
    assert again == message and demands_in(message, 3) == (0.0, 0.0, 0.0) and wanted([10.0]) is None
    assert demands_in(message, 1000)[999] == 999e6
    herald = Herald(2, 500, 1, 0)
    told = herald.whom(SECOND)
    assert len(told) == 6 and 2 not in told and herald.whom(SECOND + 1) == []


# The module with its door

KINDS = (RequestClass(1_000_000, 4_000_000, late_priority_weight=0.5, effect=Effect.SAFE),)
BASE = Settings(
    classes=KINDS,
    tenants=(Tenant(0.5), Tenant(0.5)),
    max_attempts=2,
    max_retry_after_us=4_000_000,
    admission=AdmissionSettings(adaptive=False),
)


class Fleet:
    """The module round servers that each take 100 ms and hold three."""

    def __init__(self, settings: Settings = BASE, servers: int = 2) -> None:
        self.balancer = LoadBalancer(settings, 1)
        self.now = SECOND
        self.count = 0
        self.due: list[tuple[int, int, Event]] = []
        self.sent: list[str] = []
        self.refused: dict[str, int] = {}
        self.free = [0] * servers
        self.handle(EndpointList(ListKind.FULL, tuple(ListedServer(n) for n in range(servers))))

    def handle(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self.count += 1
            if isinstance(action, SendAttempt):
                self.sent.append(action.request)
                self.free[action.server] = ends = max(self.now, self.free[action.server]) + 100_000
                over = AttemptEnded(action.request, 0, action.server, Outcome.OK, ends - self.now, True)
                self.due.append((ends, self.count, over))
            elif isinstance(action, SetTimer):
                self.due.append((action.due_us, self.count, TimerFired(action.token)))
            elif isinstance(action, Reject):
                assert action.request not in self.refused and action.request not in self.sent
                self.refused[action.request] = action.retry_after_us
        return actions

    def ask(self, name: str, member: int, client: int = 1, key: int | None = None, **more: Any) -> None:
        key = key if key is not None else abs(hash(name)) % 2**40
        self.handle(RequestArrived(name, 0, 4_000_000, key, tenant=member, client=client, **more))

    def run_until(self, time_us: int) -> None:
        while self.due and min(self.due)[0] <= time_us:
            first = min(self.due)
            self.due.remove(first)
            self.now = max(self.now, first[0])
            self.handle(first[2])
        self.now = time_us

    def flood(self, seconds: float, rate: int, member: int = 0, clients: int = 5) -> None:
        for n in range(int(seconds * rate)):
            self.run_until(self.now + SECOND // rate)
            self.ask(f"f{self.now}-{n}", member, n % clients + 1)


def test_a_small_member_is_served_in_a_large_ones_flood() -> None:
    fleet = Fleet()
    for n in range(20):
        fleet.flood(0.25, 80)
        fleet.ask(f"small{n}", 1)
    fleet.run_until(fleet.now + 5 * SECOND)
    assert sum(name.startswith("small") for name in fleet.sent) == 20
    assert len(fleet.refused) > 100 and not len(fleet.balancer.admission.queues)  # type: ignore[union-attr]
    rows = fleet.balancer.admission.rows  # type: ignore[union-attr]
    assert rows[1].served == rows[1].asked == 20 and rows[0].waiting == 0
    assert rows[0].served + rows[0].refused == rows[0].asked


def test_who_comes_when_told_is_let_in_and_who_comes_at_once_is_not() -> None:
    fleet = Fleet()
    fleet.flood(2.0, 60)
    told = {name: wait for name, wait in fleet.refused.items() if 300_000 < wait < 3_000_000}
    name, wait = list(told.items())[-1]
    client = int(name.partition("-")[2]) % 5 + 1
    key = abs(hash(name)) % 2**40
    fleet.ask("early", 0, client, key)
    assert fleet.refused["early"] == pytest.approx(wait, rel=0.35)
    assert fleet.balancer.admission.promises.ignored[0] == 1  # type: ignore[union-attr]
    began = fleet.now
    while fleet.now < began + wait:
        fleet.flood(0.1, 60)
    fleet.ask("kept", 0, client, key)
    fleet.run_until(fleet.now + 2 * SECOND)
    assert "kept" in fleet.sent


def test_what_waits_and_has_become_hopeless_is_refused_then_and_not_at_its_deadline() -> None:
    fleet = Fleet(servers=1)
    for n in range(3):
        fleet.ask(f"stuck{n}", 0, n)
    fleet.due = [due for due in fleet.due if isinstance(due[2], TimerFired)]  # the server is dumb
    fleet.ask("waits", 1)
    assert "waits" not in fleet.refused
    fleet.run_until(fleet.now + 600_000)
    assert "waits" in fleet.refused


def test_ten_thousand_clients_that_ask_once_stay_within_the_bound_and_nothing_taken_is_dropped() -> None:
    bound = 256 * 1024
    fleet = Fleet(replace(BASE, admission=AdmissionSettings(memory_bytes=bound, client_rate=Rate(5.0, 2.0))))
    door = fleet.balancer.admission
    assert door is not None
    draw = random.Random(1)
    for n in range(10_000):
        if n % 20 == 0:
            fleet.run_until(fleet.now + 20_000)
        fleet.ask(f"c{n}", 0, draw.getrandbits(60))
        assert door.bytes() <= bound
    fleet.run_until(fleet.now + 10 * SECOND)
    assert len(fleet.sent) + len(fleet.refused) == 10_000 and not fleet.balancer.requests


def test_a_rate_is_a_bound_of_its_own_and_a_wait_that_it_tells_is_right() -> None:
    fleet = Fleet(replace(BASE, admission=AdmissionSettings(client_rate=Rate(2.0, 1.0))))
    fleet.ask("one", 0, 4)
    fleet.ask("two", 0, 4)
    fleet.ask("other", 0, 5)
    assert fleet.sent == ["one", "other"] and 400_000 < fleet.refused["two"] <= 500_000
    fleet.run_until(fleet.now + fleet.refused["two"])
    fleet.ask("again", 0, 4)
    assert "again" in fleet.sent


def test_shares_change_under_load_and_a_clock_that_jumps_breaks_nothing() -> None:
    fleet = Fleet()

    def both(seconds: float) -> float:
        before = len(fleet.sent)
        for n in range(int(seconds * 30)):
            fleet.run_until(fleet.now + SECOND // 30)
            fleet.ask(f"a{fleet.now}", 0, n % 5)
            fleet.ask(f"b{fleet.now}", 1, n % 5)
        names = fleet.sent[before:]
        return sum(name[0] == "a" for name in names) / len(names)

    even = both(6.0)
    fleet.handle(TenantSharesChanged((0.9, 0.1)))
    fleet.run_until(fleet.now + SECOND)
    fleet.now += SECOND  # the clock goes on by a second at once
    uneven = both(6.0)
    assert even == pytest.approx(0.5, abs=0.06) and uneven > even + 0.15
    fleet.handle(PeerDemands(3, (5e6, 0.0)))
    fleet.handle(TenantSharesChanged((0.5,)))  # of another installation: passed over
    fleet.run_until(fleet.now + 9 * SECOND)
    assert not fleet.balancer.requests


def test_marked_repeats_are_bounded_only_while_something_waits() -> None:
    door: AdmissionController[str] = AdmissionController(AdmissionSettings(repeats=0.0), [1.0])
    assert all(door.arrive(0, 0, n, n, 0, 1.0, True) is False for n in range(50))
    door.push("waits", 0, 0, 1, 1.0, 1.0, 9)
    verdicts = [door.arrive(0, 0, n, n, 0, 1.0, True) for n in range(100, 150)]
    assert verdicts[-1] == (AdmissionDenial.REPEAT, 0) and sum(v is False for v in verdicts) <= 20


# The whole


def test_a_flood_leaves_the_others_their_part_and_advice_holds_in_virtual_time() -> None:
    scenario = altered(load(SCENARIOS / "flood.toml"), {"seconds": 14})
    found = {}
    for use in (True, False):
        played = altered(scenario, {"door.use": use})
        records = play(played, 2)
        found[use] = figures(records, played, judge(records, played))
        assert not found[use].rules_broken
    assert found[True].expect_held and not found[False].expect_held
    assert found[True].advice_right > 0.8 > found[False].advice_right


def test_the_operators_file_names_members_and_classes_that_exist(tmp_path: Path) -> None:
    config = parse(configuration("127.0.0.1:9"))
    file = tmp_path / "operator.toml"
    file.write_text("[queues]\nuse = true\nshares = { zeta = 3.0 }\n[limits]\nclass_per_s = { hold = 5 }\n")
    made = with_admission(config, load_operator(str(file))).settings.admission
    assert made is not None and made.shares == (0.0, 3.0) and made.class_rates[1] == Rate(5.0, 10.0)
    assert tenant_shares(config, read_operator(str(file))) == (0.0, 3.0)
    file.write_text("[queues]\nuse = true\nshares = { nobody = 1.0 }\n")
    with pytest.raises(ConfigError, match="no member 'nobody'; there are acme, zeta"):
        tenant_shares(config, load_operator(str(file)))
    file.write_text("[queues]\nuse = true\n[limits]\nclass_per_s = { none = 1.0 }\n")
    with pytest.raises(ConfigError, match="no class 'none'"):
        with_admission(config, load_operator(str(file)))
    file.write_text("[limits]\nrepeats = 0.5\n")
    with pytest.raises(FileError, match=r"limits needs queues.use = true"):
        load_operator(str(file))


@on_loop
async def test_a_gateway_tells_clients_apart_by_header_and_shows_each_member(tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    file.write_text(
        "[queues]\nuse = true\nwhole_seconds = true\n[limits]\nclient_per_s = 0.7\nclient_burst = 1\n"
    )
    config = configuration("127.0.0.1:9", retryAfter=True, maxRetryAfterUs=4_000_000)
    async with running(config, load_operator(str(file))) as gateway:
        told: list[Any] = []
        for name in ("a", "a", "b"):
            headers: dict[str, Any] = {"x_client": name}
            answer = await gateway.ask(request(**headers))
            told.append([value for key, value in answer.headers.items() if key.lower() == "retry-after"])
        assert told[1] in (["1"], ["2"])  # 1 to 1.43 s, rounded up
        shown = gateway.server.stats()
        assert "svc_member_acme_asked_total 3\n" in shown and "svc_door_refused_rate_total 1\n" in shown
