"""What befalls a soak, drawn from its seed: troubles that begin at any time and overlap. Pure."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from enum import Enum

from sagetrack.lab.soak.server import Behaviour
from sagetrack.lab.soak.shim import NONE, Faults

QUIET_S = 1.0  # before the first trouble, and after the last
STEPS_S = (-3_600, -30, 30, 3_600)


class Kind(Enum):
    """What happens; a gateway or a server, or both, stand with it."""

    KILL = "kill"  # a gateway, which starts again
    TERM = "term"  # the same after its way out
    UPGRADE = "upgrade"  # a second process takes over
    CROSSED_UPGRADE = "crossed_upgrade"  # which is told to end while the first still leaves
    HOLD = "hold"  # a gateway is stopped for a moment, again and again
    RELOAD = "reload"  # SIGHUP, and discovery moves
    HALF_RELOAD = "half_reload"  # the configuration is half written when SIGHUP comes
    SYSTEM = "system"  # a gateway's system calls fail
    STEP = "step"  # its wall clock is stepped
    DISCOVERY_DOWN = "discovery_down"
    DISCOVERY_SILENT = "discovery_silent"
    DISCOVERY_RESET = "discovery_reset"  # open watches
    DRAIN = "drain"  # a server is withdrawn, goes on answering, and comes back anew
    CRASH = "crash"  # a server dies, and comes back anew
    BEHAVE = "behave"  # a server misbehaves
    MUTE = "mute"  # connections of a gateway to a server come up late
    RESET = "reset"  # those that are up are reset
    STALL = "stall"  # and nothing passes on them


WEIGHTS = {
    Kind.KILL: 1,
    Kind.TERM: 2,
    Kind.UPGRADE: 2,
    Kind.CROSSED_UPGRADE: 1,
    Kind.HOLD: 2,
    Kind.RELOAD: 1,
    Kind.HALF_RELOAD: 1,
    Kind.SYSTEM: 4,
    Kind.STEP: 1,
    Kind.DISCOVERY_DOWN: 2,
    Kind.DISCOVERY_SILENT: 2,
    Kind.DISCOVERY_RESET: 2,
    Kind.DRAIN: 3,
    Kind.CRASH: 2,
    Kind.BEHAVE: 5,
    Kind.MUTE: 3,
    Kind.RESET: 2,
    Kind.STALL: 1,
}
LENGTHS_S = {Kind.MUTE: (0.2, 1.6), Kind.STALL: (0.1, 0.8), Kind.HOLD: (0.5, 2.0), Kind.DRAIN: (3.5, 5.0)}
USUAL_S = (0.4, 3.0)


@dataclass(slots=True, frozen=True)
class Trouble:
    at_s: float
    length_s: float
    kind: Kind
    gateway: int
    server: int
    behaviour: Behaviour = Behaviour.NORMAL
    faults: Faults = NONE
    step_s: int = 0

    def __str__(self) -> str:
        more = ""
        if self.kind is Kind.BEHAVE:
            more = f" {self.behaviour.value}"
        elif self.kind is Kind.SYSTEM:
            rates = ("accept", "connect", "socket", "read", "write", "file", "watch")
            more = "".join(f" {name}" for name in rates if getattr(self.faults, f"{name}_rate"))
        elif self.kind is Kind.STEP:
            more = f" {self.step_s:+d} s"
        return (
            f"{self.at_s:5.2f} to {self.at_s + self.length_s:5.2f} s {self.kind.value}{more} "
            f"(gateway {self.gateway}, server {self.server})"
        )


def draw_faults(draw: random.Random) -> Faults:
    """One or two families of system calls that fail."""
    families = draw.sample(("accept", "connect", "socket", "read", "write", "file", "watch"), 2)
    return replace(NONE, **{f"{family}_rate": draw.choice((20, 100, 300)) for family in families})


def drawn(seed: int, seconds: float, gateways: int, servers: int) -> list[Trouble]:
    """About one trouble a second and a half; a gateway is ended by one at a time."""
    draw = random.Random(seed)
    kinds, weights = list(WEIGHTS), list(WEIGHTS.values())
    troubles: list[Trouble] = []
    ending = (Kind.KILL, Kind.TERM, Kind.UPGRADE, Kind.CROSSED_UPGRADE)
    busy_s = dict.fromkeys(range(gateways), 0.0)
    at_s = QUIET_S
    while at_s < seconds - QUIET_S:
        kind = draw.choices(kinds, weights)[0]
        gateway, server = draw.randrange(gateways), draw.randrange(servers)
        length_s = draw.uniform(*LENGTHS_S.get(kind, USUAL_S))
        if kind not in ending or at_s >= busy_s[gateway]:
            if kind in ending:
                busy_s[gateway] = at_s + 8.0
            behaviour = draw.choice([one for one in Behaviour if one is not Behaviour.NORMAL])
            step_s, faults = draw.choice(STEPS_S), draw_faults(draw)
            troubles.append(Trouble(at_s, length_s, kind, gateway, server, behaviour, faults, step_s))
        at_s += draw.expovariate(1 / 0.7)
    return troubles
