"""Generates the fault schedule of a soak from its seed; faults may overlap. No I/O."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import Enum

from sagetrack.lab.soak.server import STREAM_BEHAVIOURS, Behaviour
from sagetrack.lab.soak.shim import CALL_GROUPS, NO_FAULTS, SystemCallFaults
from sagetrack.lab.stand_ins.slow_clients import Habit
from sagetrack.lab.stand_ins.slow_front_clients import DnsHabit, GrpcHabit

QUIET_S = 1.0  # time without faults at the start and the end of a run
MEAN_GAP_S = 0.7  # mean time between the starts of two faults
MIN_RESTART_GAP_S = 8.0  # minimum time between two faults that end a process of the same gateway
CLOCK_STEPS_S = (-3_600, -30, 30, 3_600)
FAILURE_RATES = (20, 100, 300)  # failures per 1,000 system calls


class FaultKind(Enum):
    """The faults of a gateway, a server or the route between them. The values are printed."""

    KILL = "kill"  # a gateway is killed and restarted
    SIGTERM = "term"  # a gateway shuts down gracefully and is restarted
    UPGRADE = "upgrade"  # a second process of a gateway takes over from the first
    CROSSED_UPGRADE = "crossed_upgrade"  # the second process gets SIGTERM while the first still shuts down
    PAUSE = "hold"  # a gateway is repeatedly stopped for a short time
    RELOAD = "reload"  # a gateway gets SIGHUP with a new discovery address
    HALF_WRITTEN_RELOAD = "half_reload"  # a gateway gets SIGHUP while its configuration is half written
    SYSTEM_CALLS = "system"  # a gateway's system calls fail
    CLOCK_STEP = "step"  # a gateway's wall clock is stepped
    DISCOVERY_DOWN = "discovery_down"  # a gateway's discovery agent closes every connection
    DISCOVERY_SILENT = "discovery_silent"  # a gateway's discovery agent does not respond
    DISCOVERY_RESET = "discovery_reset"  # a gateway's open watches are reset
    DRAIN = "drain"  # a server is listed as draining, keeps responding, and is restarted
    CRASH = "crash"  # a server is killed and restarted
    MISBEHAVE = "behave"  # a server sends faulty or slow responses
    MUTE = "mute"  # new connections from a gateway to a server are not established
    RESET = "reset"  # the connections between a gateway and a server are reset
    CROWD = "crowd"  # many slow clients connect to a gateway
    FRONT_CROWD = "front crowd"  # many bad clients connect to a gateway's gRPC or DNS front
    STREAM = "stream"  # a server's responses never end, stop, or do not fit their length
    STALL = "stall"  # the connections between a gateway and a server pass no data


FrontHabit = GrpcHabit | DnsHabit
FRONT_HABITS: tuple[FrontHabit, ...] = (*GrpcHabit, *DnsHabit)
# What a server does of which it recovers with its next response, or which a client notices at once.
MISBEHAVIOURS: tuple[Behaviour, ...] = tuple(
    value
    for value in Behaviour
    if value is not Behaviour.NORMAL and (value not in STREAM_BEHAVIOURS or value is Behaviour.ENDLESS)
)
WEIGHTS = {
    FaultKind.KILL: 1,
    FaultKind.SIGTERM: 2,
    FaultKind.UPGRADE: 2,
    FaultKind.CROSSED_UPGRADE: 1,
    FaultKind.PAUSE: 2,
    FaultKind.RELOAD: 1,
    FaultKind.HALF_WRITTEN_RELOAD: 1,
    FaultKind.SYSTEM_CALLS: 4,
    FaultKind.CLOCK_STEP: 1,
    FaultKind.DISCOVERY_DOWN: 2,
    FaultKind.DISCOVERY_SILENT: 2,
    FaultKind.DISCOVERY_RESET: 2,
    FaultKind.DRAIN: 3,
    FaultKind.CRASH: 2,
    FaultKind.MISBEHAVE: 5,
    FaultKind.MUTE: 3,
    FaultKind.RESET: 2,
    FaultKind.STALL: 1,
    FaultKind.CROWD: 2,
    FaultKind.FRONT_CROWD: 2,
    FaultKind.STREAM: 3,
}
DURATIONS_S = {
    FaultKind.MUTE: (0.2, 1.6),
    FaultKind.STALL: (0.1, 0.8),
    FaultKind.PAUSE: (0.5, 2.0),
    FaultKind.DRAIN: (3.5, 5.0),
}
USUAL_DURATION_S = (0.4, 3.0)
PROCESS_ENDING_KINDS = (FaultKind.KILL, FaultKind.SIGTERM, FaultKind.UPGRADE, FaultKind.CROSSED_UPGRADE)


@dataclass(slots=True, frozen=True)
class ScheduledFault:
    """One fault of a run. Times are in seconds from the start of the run.

    It has the parameters of all kinds of faults; each kind uses only those that apply to it.
    """

    at_s: float
    duration_s: float
    kind: FaultKind
    gateway: int
    server: int
    behaviour: Behaviour = Behaviour.NORMAL
    system_call_faults: SystemCallFaults = NO_FAULTS
    clock_step_s: int = 0
    habit: Habit = Habit.SILENT
    front_habit: FrontHabit = GrpcHabit.SILENT

    def __str__(self) -> str:
        return (
            f"{self.at_s:5.2f} to {self.at_s + self.duration_s:5.2f} s {self.kind.value}{self._detail()} "
            f"(gateway {self.gateway}, server {self.server})"
        )

    def _detail(self) -> str:
        match self.kind:
            case FaultKind.FRONT_CROWD:
                return f" {self.front_habit.value}"
            case FaultKind.MISBEHAVE | FaultKind.STREAM:
                return f" {self.behaviour.value}"
            case FaultKind.SYSTEM_CALLS:
                return "".join(f" {group}" for group in self.system_call_faults.failing_groups())
            case FaultKind.CROWD:
                return f" {self.habit.value}"
            case FaultKind.CLOCK_STEP:
                return f" {self.clock_step_s:+d} s"
            case _:
                return ""


def generate_schedule(
    seed: int, seconds: float, gateways: int, servers: int, kinds: Sequence[FaultKind] = tuple(WEIGHTS)
) -> list[ScheduledFault]:
    """Draw faults of these kinds, ordered by start time. The same arguments give the same schedule.

    A fault starts every `MEAN_GAP_S` on average. A fault that ends a gateway's process is omitted while an
    earlier one of the same gateway may still be in progress.
    """
    rng = random.Random(seed)
    stream_rng = random.Random(f"{seed}/streams and fronts")
    schedule: list[ScheduledFault] = []
    restarting_until_s = dict.fromkeys(range(gateways), 0.0)
    at_s = QUIET_S
    while at_s < seconds - QUIET_S:
        kind = rng.choices(kinds, [WEIGHTS[kind] for kind in kinds])[0]
        gateway = rng.randrange(gateways)
        server = rng.randrange(servers)
        duration_s = rng.uniform(*DURATIONS_S.get(kind, USUAL_DURATION_S))
        ends_process = kind in PROCESS_ENDING_KINDS
        if not ends_process or at_s >= restarting_until_s[gateway]:
            if ends_process:
                restarting_until_s[gateway] = at_s + MIN_RESTART_GAP_S
            behaviour = rng.choice(MISBEHAVIOURS)
            step_s = rng.choice(CLOCK_STEPS_S)
            faults = _random_system_call_faults(rng)
            habit = rng.choice(list(Habit))
            fault = ScheduledFault(at_s, duration_s, kind, gateway, server, behaviour, faults, step_s, habit)
            schedule.append(_with_stream_and_front(fault, stream_rng))
        at_s += rng.expovariate(1 / MEAN_GAP_S)
    return schedule


def _with_stream_and_front(fault: ScheduledFault, rng: random.Random) -> ScheduledFault:
    """Draw what a server does to its responses, and what bad clients do to the other fronts."""
    stream_behaviour = rng.choice(STREAM_BEHAVIOURS)
    behaviour = stream_behaviour if fault.kind is FaultKind.STREAM else fault.behaviour
    return replace(fault, behaviour=behaviour, front_habit=rng.choice(FRONT_HABITS))


def _random_system_call_faults(rng: random.Random) -> SystemCallFaults:
    """Draw two groups of system calls that fail, each with its own failure rate."""
    groups = rng.sample(CALL_GROUPS, 2)
    return replace(NO_FAULTS, **{f"{group}_rate": rng.choice(FAILURE_RATES) for group in groups})
