"""The one Balancer and the world round it: events in, actions out, timers, and the requests that are held.

Nothing is chosen here. One event is handled and its actions are carried out before the next: what is found
out meanwhile waits its turn.
"""

from __future__ import annotations

import asyncio
import traceback
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from sagetrack.core.clock import now_us, wall_us
from sagetrack.core.endpoints import Endpoint, EndpointSource
from sagetrack.core.event_trace import Step, Trace
from sagetrack.core.interfaces import Answer, Attempt, Call, Recorder, Source, UpstreamPool
from sagetrack.core.invariants import InvariantViolations, Rule
from sagetrack.core.log import log
from sagetrack.core.metrics import Counter, Metrics, Reasons
from sagetrack.core.send_rules import DenialReason, Sending, ServerState, may_retry, may_send
from sagetrack.policy.interface import (
    Action,
    AttemptEnded,
    AttemptSent,
    Cancel,
    CloseIdle,
    EndpointList,
    Event,
    Fail,
    FetchEndpoints,
    ListedServer,
    ListKind,
    LoadReport,
    Log,
    Outcome,
    Probe,
    Probed,
    ProcessCountChanged,
    Reject,
    RequestArrived,
    RequestCancelled,
    SendAttempt,
    ServerStatus,
    SetTimer,
    Settings,
    ShutdownStarted,
    StreamStarted,
    TimerFired,
    WatchEndpoints,
)
from sagetrack.policy.load_balancer import LoadBalancer

WATCH_S = 0.15  # between looks for calls whose time is over
LATE_US = 50_000  # past its time, a call is looked at once more before it is answered here


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request that is owed an answer, or whose attempts are not all over."""

    call: Call
    deadline_us: int
    attempts: list[Attempt | None] = field(default_factory=list)  # None: never sent
    sendings: list[Sending] = field(default_factory=list)  # the same, as far as repeats depend on them
    out: int = 0
    stream: Attempt | None = None  # the one whose answer the client is getting
    closed: bool = False
    timed_out: bool = False
    overdue: bool = False  # was found unanswered past its time

    def left_us(self, now_us: int) -> int:
        """What is left of its client's time, which counts from its last byte."""
        upload = self.call.upload
        if upload is None:
            return self.deadline_us - now_us
        since_us = upload.ended_us if upload.ended else now_us
        return since_us + self.call.client_timeout_us - now_us

    @property
    def is_current(self) -> bool:
        """Whether it was taken, which is when its last byte had come, and has not ended."""
        return (
            not self.closed
            and self.call.mirror_target < 0
            and (self.call.upload is None or self.call.upload.ended)
        )


def changes(entries: Sequence[Endpoint]) -> str:
    """What a list says, in few words: how many servers by status, and those that leave by name."""
    by: dict[str, int] = {}
    for entry in entries:
        by[entry.listed.status.value] = by.get(entry.listed.status.value, 0) + 1
    left = [entry.name for entry in entries if entry.listed.status is not ServerStatus.READY]
    told = ", ".join(f"{count} {status}" for status, count in by.items()) or "nothing"
    return told + (f" ({' '.join(left[:20])})" if left else "")


def count(counter: Counter, call: Call) -> None:
    """Count a client's call; a copy of one is nobody's."""
    if call.mirror_target < 0:
        counter.add(call.klass)


class Gateway:
    """One protocol's calls: one module, one back. Made on a running loop."""

    def __init__(
        self, settings: Settings, seed: int, classes: Sequence[str], back: UpstreamPool, known: dict[str, Any]
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.settings = settings
        self.balancer = LoadBalancer(settings, seed)
        self.back = back
        self.roster: EndpointSource | None = None  # from the start on
        self.events: deque[Callable[[], Event | None]] = deque()
        self.handling = False
        self.held: dict[str, InFlightRequest] = {}
        self.closed = False
        self.known = known
        self.recorder: Recorder | None = None
        self.places: dict[int, ListedServer] = {}  # the servers that are listed
        self.trace = Trace()
        self.violations = InvariantViolations(self.trace)
        self.withheld = Reasons("withheld_total", "reason", (denial.value for denial in DenialReason))
        self.ended = Reasons("attempts_total", "outcome", (outcome.value for outcome in Outcome))
        self.unserved = Reasons("refused_total", "reason", ())
        self.watcher: asyncio.TimerHandle | None = None
        gauges = {
            "current": lambda: sum(held.is_current for held in self.held.values()),
            "cluster_size": lambda: len(self.back.listed),
            "cluster_unhealthy": lambda: self.balancer.unhealthy_count(),
        }
        self.metrics = Metrics(classes, gauges)
        for counts in (self.violations, self.withheld, self.ended, self.unserved):
            self.metrics.more.append(counts.figures)

    def start(self, roster: EndpointSource) -> None:
        """Begin with the list from before, and ask for a newer one when the module says so."""
        self.roster = roster
        roster.take_known(self.known)
        self.watcher = self.loop.call_later(WATCH_S, self.answer_overdue)

    def share(self, processes: int) -> None:
        """So many processes are this gateway now."""
        self.post(lambda: ProcessCountChanged(processes))

    def lives(self) -> dict[int, int]:
        """When each listed server started."""
        return self.back.lives()

    @property
    def can_serve(self) -> bool:
        """Whether there is any server to send to."""
        return bool(self.back.listed)

    def close(self) -> None:
        self.closed = True
        if self.watcher is not None:
            self.watcher.cancel()
        if self.roster is not None:
            self.roster.close()
        self.back.close()

    # Events in

    def post(self, event: Callable[[], Event | None]) -> None:
        """Queue what has happened. It is put into words when its turn comes, and may be void by then."""
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        try:
            while self.events and not self.closed:
                happened = self.worded(self.events.popleft())
                if happened is not None:
                    self.handle(happened)
        finally:
            self.handling = False

    def worded(self, event: Callable[[], Event | None]) -> Event | None:
        """Guards the events that wait behind one that cannot be put into words: they would wait for good."""
        try:
            return event()
        except Exception:
            self.violations.note(Rule.HANDLING, "event", traceback.format_exc())
            return None

    def handle(self, event: Event) -> None:
        try:
            actions = self.balancer.handle(now_us(), event)
        except Exception:
            # Guards against one bad decision ending the process and all that it holds.
            self.violations.note(Rule.HANDLING, "module", f"{event!r}\n{traceback.format_exc()}")
            actions = [Fail(event.request)] if isinstance(event, RequestArrived | AttemptEnded) else []
        for action in actions:
            try:
                self.carry_out(action)
            except Exception:
                # Guards the client whose event is being handled: an error here would end its connection.
                self.violations.note(Rule.HANDLING, "action", f"{action!r}\n{traceback.format_exc()}")

    def arrive(self, call: Call) -> bool:
        """Take a request; False if one with its id is held already."""
        if call.id in self.held:
            return False
        now = now_us()
        waited_us = max(0, now - call.received_us) if call.received_us else 0
        self.held[call.id] = InFlightRequest(call, now + call.client_timeout_us - waited_us)
        event = RequestArrived(
            call.id,
            call.klass,
            call.client_timeout_us,
            call.key,
            call.work_us,
            call.is_retry,
            call.tenant,
            call.upload is not None,
            call.who,
            call.mirror_target,
            waited_us,
        )
        self.post(lambda: event)
        return True

    def leave(self, id_: str) -> None:
        """The client has gone; nothing is owed to it."""
        held = self.held.get(id_)
        if held is None or held.closed:
            return
        self.trace.note(Step.CLIENT_LEFT, id_)
        self.finish(id_, held)
        self.post(lambda: RequestCancelled(id_))
        for attempt in held.attempts if held.stream is not None or held.call.upload is not None else ():
            if attempt is not None:
                self.back.cancel(attempt)  # what goes through it has lost one of its ends

    def leave_by(self, wait_s: float) -> None:
        """Answer everything within this time, what comes until then too: the process may be killed after."""
        end_us = now_us() + int(wait_s * 1e6)
        self.post(lambda: ShutdownStarted(end_us))
        self.loop.call_later(wait_s + 0.001, self.give_up)  # the loop rounds: not before

    def give_up(self) -> None:
        """Wait for no answer any longer; the module decides what its client is told."""
        for held in list(self.held.values()):
            for attempt in held.attempts if not held.closed and held.stream is None else ():
                if attempt is not None:
                    self.back.cancel(attempt)

    def answer_overdue(self) -> None:
        """Answer calls whose time is over, whoever has failed to: none is left without an answer.

        Each is looked at twice, as after a time in which this process was held up its timers are due too.
        """
        self.watcher = self.loop.call_later(WATCH_S, self.answer_overdue)
        now = now_us()
        for id_, held in list(self.held.items()):
            if held.closed or held.stream is not None or held.left_us(now) > -LATE_US:
                continue
            if not held.overdue:
                held.overdue = True
                continue
            self.violations.note(Rule.UNANSWERED, id_, f"{-held.left_us(now) / 1000:.0f} ms past its time")
            self.carry_out(Fail(id_))
            self.post(lambda id_=id_: RequestCancelled(id_))  # type: ignore[misc]

    def on_list(self, kind: ListKind, entries: list[Endpoint]) -> None:
        self.post(lambda: self.take_list(kind, entries))

    def take_list(self, kind: ListKind, entries: list[Endpoint]) -> Event:
        if kind is not ListKind.ERROR and kind is not ListKind.DELTA:
            named = {entry.listed.server for entry in entries}
            for server in [server for server in self.back.listed if server not in named]:
                self.back.remove(server)
                self.places.pop(server, None)
        for entry in entries:
            if entry.listed.status is ServerStatus.GONE:
                self.back.remove(entry.listed.server)
                self.places.pop(entry.listed.server, None)
            else:
                self.back.put(entry)
                self.places[entry.listed.server] = entry.listed
        if any(entry.listed.status is not ServerStatus.READY for entry in entries):
            self.trace.note(Step.STATE, "list", changes(entries))
        if self.recorder is not None:
            self.recorder.event(f"list {kind.value}: {changes(entries)}")
        listed = tuple(entry.listed for entry in entries)
        return EndpointList(kind, listed, wall_us(), None if self.roster is None else self.roster.unheard_us)

    # Actions out

    def carry_out(self, action: Action) -> None:
        match action:
            case SendAttempt():
                self.send(action)
            case SetTimer():
                # A millisecond more: the loop rounds, and a timer must not fire before it is due.
                delay_s = max(0, action.due_us - now_us()) / 1e6 + 0.001
                event = TimerFired(action.token)
                self.loop.call_later(delay_s, self.post, lambda: event)
            case Reject():
                held = self.owed(action.request)
                if held is not None:
                    count(self.metrics.deferred, held.call)
                    self.unserved.add(action.reason.value)
                    self.trace.note(Step.REFUSED, action.request, action.reason.value)
                    held.call.client.on_refused(held.call, action.retry_after_us)
            case Fail():
                held = self.owed(action.request)
                if held is not None:
                    count(self.metrics.errored, held.call)
                    self.trace.note(Step.FAILED, action.request, "timed out" if held.timed_out else "")
                    held.call.client.on_failed(held.call, held.timed_out)
            case Cancel():
                self.cancel(action)
            case WatchEndpoints():
                if self.roster is not None:
                    self.roster.watch(action.on)
            case FetchEndpoints():
                if self.roster is not None:
                    self.roster.fetch()
            case Probe():
                self.probe(action.server)
            case CloseIdle():
                self.back.close_idle(action.server)
            case Log():
                about = {} if action.server is None else {"server": action.server}
                log(action.line, "info", "module", **about)
                if self.recorder is not None:
                    self.recorder.event(action.line)
            case _:
                log(f"not carried out: {action!r}")

    def owed(self, id_: str) -> InFlightRequest | None:
        """The request, if it still waits for its final answer, which it has from now on."""
        held = self.held.get(id_)
        if held is None or held.closed:
            return None
        self.finish(id_, held)
        return held

    def finish(self, id_: str, held: InFlightRequest) -> None:
        held.closed = True
        if held.out == 0:
            del self.held[id_]
            return
        for attempt in held.attempts:
            if attempt is not None:
                self.back.withdraw(attempt)

    def send(self, action: SendAttempt) -> None:
        id_ = action.request
        held = self.held.get(id_)
        if held is None:
            return
        number = len(held.attempts)
        left_us = held.left_us(now_us())
        wait_us = min(action.timeout_us, left_us) if action.timeout_us else left_us
        listed = self.places.get(action.server)
        sending = Sending(listed.zone, listed.group) if listed is not None else Sending(-1, -1)
        # Its end may come before `begin` is back: then the list has its place already.
        held.attempts.append(None)
        held.sendings.append(sending)
        denial = self.objection(held, action.server, number, wait_us)
        if denial is not None:
            self.withhold(id_, denial)
            self.post(lambda: self.moot(action, number))
            return
        held.out += 1
        watch = GatewayAttemptObserver(self, held, number, action.begin_by_us)
        held.attempts[number] = self.back.begin(held.call, action.server, wait_us, watch)

    def objection(self, held: InFlightRequest, server: int, number: int, wait_us: int) -> DenialReason | None:
        """Why an attempt that the module has chosen is not begun; a choice that breaks a rule is told."""
        if number >= self.settings.max_attempts:
            return DenialReason.TOO_MANY_ATTEMPTS
        upload = held.call.upload
        if upload is not None and (upload.begun or upload.broken):  # none can have all of it
            return DenialReason.BODY_SPENT
        state = ServerState.SERVING if server in self.back.listed else ServerState.NOT_LISTED
        denial = may_send(held.closed, wait_us, state, lambda: False)
        if denial is not None:
            return denial
        klass = self.settings.classes[held.call.klass]
        denial = may_retry(self.settings, klass, held.sendings[number], held.sendings, now_us())
        if denial is not None:
            self.violations.note(Rule.REPEAT, held.call.id, f"{denial.value} at server {server}")
        return denial

    def withhold(self, id_: str, denial: DenialReason) -> None:
        """Count what was not sent."""
        self.withheld.add(denial.value)
        self.trace.note(Step.ATTEMPT_WITHHELD, id_, denial.value)

    def moot(self, action: SendAttempt, number: int) -> Event:
        held = self.held.get(action.request)
        finished = held is None or held.closed
        return AttemptEnded(action.request, number, action.server, Outcome.NOT_SENT, 0, finished)

    def attempt_begun(
        self, held: InFlightRequest, number: int, attempt: Attempt, head: Answer, source: Source
    ) -> Event | None:
        if held.closed or held.stream is not None:
            self.back.cancel(attempt)
            return None
        held.stream = attempt
        held.call.client.on_begun(held.call, head, source)
        return StreamStarted(held.call.id, number)

    def pass_on(self, held: InFlightRequest, attempt: Attempt, data: bytes) -> None:
        if held.stream is attempt and not held.closed:
            held.call.client.on_piece(held.call, data)

    def attempt_ended(
        self,
        held: InFlightRequest,
        number: int,
        attempt: Attempt,
        outcome: Outcome,
        answer: Answer | None,
        load: LoadReport | None,
    ) -> Event:
        id_ = held.call.id
        held.out -= 1
        held.sendings[number].outcome = outcome
        self.ended.add(outcome.value)
        if outcome is not Outcome.OK:
            detail = f"{number} at server {attempt.server}: {outcome.value} after {attempt.latency_us} us"
            self.trace.note(Step.ATTEMPT_FAILED, id_, detail)
        if self.recorder is not None:
            good = outcome is Outcome.OK
            self.recorder.attempt(held.call.klass, outcome.value, attempt.latency_us, good)
        held.timed_out = outcome is Outcome.TIMEOUT
        if not held.closed and held.stream is attempt:
            self.finish(id_, held)
            if outcome is Outcome.OK and answer is not None:
                count(self.metrics.answered, held.call)
                held.call.client.on_ended(held.call, answer)
            else:
                count(self.metrics.errored, held.call)
                held.call.client.on_broken(held.call)
        elif not held.closed and outcome is Outcome.OK and answer is not None:
            self.finish(id_, held)
            count(self.metrics.answered, held.call)
            held.call.client.on_served(held.call, answer)
        elif held.closed and held.out == 0:
            self.held.pop(id_, None)
        return AttemptEnded(id_, number, attempt.server, outcome, attempt.latency_us, held.closed, load)

    def cancel(self, action: Cancel) -> None:
        held = self.held.get(action.request)
        if held is not None and 0 <= action.attempt < len(held.attempts):
            attempt = held.attempts[action.attempt]
            if attempt is not None:
                self.back.cancel(attempt)

    def probe(self, server: int) -> None:
        def told(outcome: Outcome, latency_us: int, load: LoadReport | None) -> None:
            self.post(lambda: Probed(server, outcome, latency_us, load))

        self.back.probe(server, told)


class GatewayAttemptObserver:
    """Hears of one attempt on behalf of the gateway."""

    __slots__ = ("begin_by_us", "gateway", "held", "number")

    def __init__(self, gateway: Gateway, held: InFlightRequest, number: int, begin_by_us: int = 0) -> None:
        self.gateway, self.held, self.number = gateway, held, number
        self.begin_by_us = begin_by_us

    def may_begin(self, server: ServerState) -> bool:
        """As above; the client's end is asked for here, where nothing comes between the look and the byte.

        Guards against all that may hide a leaving client from the loop: it is not being read from, or the
        loop has been elsewhere since it left, so that its request and its end are found together.
        """
        held, gateway = self.held, self.gateway
        denial = self.objection() or may_send(held.closed, held.left_us(now_us()), server, held.call.has_gone)
        if denial is None:
            return True
        gateway.withhold(held.call.id, denial)
        if denial is DenialReason.CLIENT_GONE:
            gateway.leave(held.call.id)
        return False

    def objection(self) -> DenialReason | None:
        """What has become of a repeat since it was chosen: its connection may have come up late."""
        held, settings, now = self.held, self.gateway.settings, now_us()
        if self.begin_by_us and now >= self.begin_by_us:
            return DenialReason.WINDOW_OVER
        klass = settings.classes[held.call.klass]
        return may_retry(settings, klass, held.sendings[self.number], held.sendings, now)

    def on_first_byte(self) -> None:
        self.held.sendings[self.number].begun_us = now_us()

    def on_written(self) -> None:
        call = self.held.call
        self.gateway.metrics.sends.add(call.klass)
        if call.upload is not None:
            self.gateway.post(lambda: AttemptSent(call.id, self.number))

    def on_begun(self, attempt: Attempt, head: Answer, source: Source) -> None:
        self.gateway.post(lambda: self.gateway.attempt_begun(self.held, self.number, attempt, head, source))

    def on_piece(self, attempt: Attempt, data: bytes) -> None:
        self.gateway.pass_on(self.held, attempt, data)

    def on_end(
        self, attempt: Attempt, outcome: Outcome, answer: Answer | None, load: LoadReport | None
    ) -> None:
        self.gateway.post(
            lambda: self.gateway.attempt_ended(self.held, self.number, attempt, outcome, answer, load)
        )
