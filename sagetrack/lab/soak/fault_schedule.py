"""The faults of a soak, drawn from its seed: they begin at any time and overlap. Pure."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from enum import Enum

from sagetrack.lab.soak.server import Behaviour
from sagetrack.lab.soak.shim import CALL_GROUPS, NO_FAULTS, SystemCallFaults

QUIET_S = 1.0  # before the first fault, and after the last
MEAN_GAP_S = 0.7  # between the starts of two faults
MIN_RESTART_GAP_S = 8.0  # for so long after a fault that ends its process, no other does
CLOCK_STEPS_S = (-3_600, -30, 30, 3_600)
FAILURE_RATES = (20, 100, 300)  # per 1,000 system calls


class FaultKind(Enum):
    """What happens to a gateway, a server or the route between them; the values are printed."""

    KILL = "kill"  # a gateway, which starts again
    SIGTERM = "term"  # a gateway, which shuts down gracefully and starts again
    UPGRADE = "upgrade"  # a second process of a gateway takes over
    CROSSED_UPGRADE = "crossed_upgrade"  # and gets SIGTERM while the first still shuts down
    PAUSE = "hold"  # a gateway is stopped for a moment, again and again
    RELOAD = "reload"  # SIGHUP with a new address of discovery
    HALF_WRITTEN_RELOAD = "half_reload"  # the same while the configuration is half written
    SYSTEM_CALLS = "system"  # a gateway's system calls fail
    CLOCK_STEP = "step"  # its wall clock is stepped
    DISCOVERY_DOWN = "discovery_down"
    DISCOVERY_SILENT = "discovery_silent"
    DISCOVERY_RESET = "discovery_reset"  # of open watches
    DRAIN = "drain"  # a server is withdrawn, keeps responding, and starts again
    CRASH = "crash"  # a server dies, and starts again
    MISBEHAVE = "behave"  # a server behaves otherwise than it should
    MUTE = "mute"  # connections of a gateway to a server do not come up
    RESET = "reset"  # those that are up are reset
    STALL = "stall"  # nothing passes on them


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
    """One fault of a run, in seconds from its start.

    It has all that any kind may need: a kind of fault uses the fields that it is about.
    """

    at_s: float
    duration_s: float
    kind: FaultKind
    gateway: int
    server: int
    behaviour: Behaviour = Behaviour.NORMAL
    system_call_faults: SystemCallFaults = NO_FAULTS
    clock_step_s: int = 0

    def __str__(self) -> str:
        return (
            f"{self.at_s:5.2f} to {self.at_s + self.duration_s:5.2f} s {self.kind.value}{self._detail()} "
            f"(gateway {self.gateway}, server {self.server})"
        )

    def _detail(self) -> str:
        match self.kind:
            case FaultKind.MISBEHAVE:
                return f" {self.behaviour.value}"
            case FaultKind.SYSTEM_CALLS:
                return "".join(f" {group}" for group in self.system_call_faults.failing_groups())
            case FaultKind.CLOCK_STEP:
                return f" {self.clock_step_s:+d} s"
            case _:
                return ""


def draw_schedule(seed: int, seconds: float, gateways: int, servers: int) -> list[ScheduledFault]:
    """The faults of a run, in the order of their starts; the same for the same arguments.

    One starts every `MEAN_GAP_S` on average. A fault that ends a gateway's process is left out while another
    one may still be in progress.
    """
    rng = random.Random(seed)
    schedule: list[ScheduledFault] = []
    restarting_until_s = dict.fromkeys(range(gateways), 0.0)
    at_s = QUIET_S
    while at_s < seconds - QUIET_S:
        kind = rng.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        gateway = rng.randrange(gateways)
        server = rng.randrange(servers)
        duration_s = rng.uniform(*DURATIONS_S.get(kind, USUAL_DURATION_S))
        ends_process = kind in PROCESS_ENDING_KINDS
        if not ends_process or at_s >= restarting_until_s[gateway]:
            if ends_process:
                restarting_until_s[gateway] = at_s + MIN_RESTART_GAP_S
            behaviour = rng.choice([value for value in Behaviour if value is not Behaviour.NORMAL])
            step_s = rng.choice(CLOCK_STEPS_S)
            faults = _draw_system_call_faults(rng)
            fault = ScheduledFault(at_s, duration_s, kind, gateway, server, behaviour, faults, step_s)
            schedule.append(fault)
        at_s += rng.expovariate(1 / MEAN_GAP_S)
    return schedule


def _draw_system_call_faults(rng: random.Random) -> SystemCallFaults:
    """Two groups of system calls that fail, each at a rate of its own."""
    groups = rng.sample(CALL_GROUPS, 2)
    return replace(NO_FAULTS, **{f"{group}_rate": rng.choice(FAILURE_RATES) for group in groups})
