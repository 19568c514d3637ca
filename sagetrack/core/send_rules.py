"""What may be sent, repeated, closed or started now: the one place that decides it. Pure.

The decision module chooses; whoever is about to act on a choice states the facts as they are at that moment
and asks here, with nothing awaited between the answer and the act. A denial at the moment of choosing means
that the choice itself was wrong and is counted as a violation; one at the last moment means that something
has crossed since, and is counted by its reason.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from sagetrack.policy.events import NEVER_RAN, Outcome
from sagetrack.policy.settings import Effect, RequestClass, Scope, Settings

FIRST_REQUEST_S = 0.5  # for the first request on a new connection to come: until then none is closed
OVERDUE_S = 2.0  # in which a client has to send a head, or anything at all


class DenialReason(Enum):
    """Why something may not be done now."""

    # Sending
    ANSWERED = "answered"  # the call has had its final answer
    CLIENT_GONE = "client_gone"
    OUT_OF_TIME = "out_of_time"  # of the client's time nothing is left
    SERVER_WITHDRAWN = "server_withdrawn"  # it drains or is gone
    SERVER_RESTARTED = "server_restarted"  # another life than the one that was chosen
    NOT_LISTED = "not_listed"
    BODY_SPENT = "body_spent"  # some of its body has gone to another server, or will never come
    TOO_MANY_ATTEMPTS = "too_many_attempts"
    # Repeating
    MAY_HAVE_RUN = "may_have_run"
    OUT_OF_SCOPE = "out_of_scope"  # this server would not drop a repeat of what may have run elsewhere
    WINDOW_OVER = "window_over"  # the servers drop repeats no longer
    STILL_OUT = "still_out"  # another attempt is out, and there may be one at a time
    # Closing
    ANSWER_OWED = "answer_owed"
    UNREAD = "unread"  # something has come that was not read yet
    UNFINISHED = "unfinished"  # part of a request has come, and its client is in time
    NOT_HEARD = "not_heard"  # new: its first request may be on its way, and would be lost
    # Starting
    LEAVING = "leaving"
    NO_SERVERS = "no_servers"
    NOT_LISTENING = "not_listening"


class ServerState(Enum):
    """A server as the one who holds connections to it knows it, against the one that was chosen."""

    SERVING = "serving"
    WITHDRAWN = "withdrawn"
    RESTARTED = "restarted"
    NOT_LISTED = "not listed"


_OF_SERVER = {
    ServerState.SERVING: None,
    ServerState.WITHDRAWN: DenialReason.SERVER_WITHDRAWN,
    ServerState.RESTARTED: DenialReason.SERVER_RESTARTED,
    ServerState.NOT_LISTED: DenialReason.NOT_LISTED,
}


@dataclass(slots=True, eq=False)
class Sending:
    """One attempt of a call, as far as repeats depend on it."""

    zone: int
    group: int
    begun_us: int | None = None  # when its first byte was let out
    outcome: Outcome | None = None

    def may_have_run(self, settings: Settings) -> bool:
        """Whether its server may have run it, or may yet."""
        if self.begun_us is None:
            return False
        if self.outcome is Outcome.REJECTED and settings.rejection_may_have_run:
            return True
        return self.outcome is None or self.outcome not in NEVER_RAN

    @property
    def is_out(self) -> bool:
        return self.begun_us is not None and self.outcome is None


def may_send(
    answered: bool, left_us: int, server: ServerState, has_gone: Callable[[], bool]
) -> DenialReason | None:
    """Whether the first byte of an attempt may go out now; None if it may.

    `has_gone` asks the kernel and is asked last, so that nothing comes between its answer and the byte.
    """
    if answered:
        return DenialReason.ANSWERED
    if left_us <= 0:
        return DenialReason.OUT_OF_TIME
    if (denial := _OF_SERVER[server]) is not None:
        return denial
    return DenialReason.CLIENT_GONE if has_gone() else None


def may_retry(
    settings: Settings, klass: RequestClass, attempt: Sending, others: Iterable[Sending], now_us: int
) -> DenialReason | None:
    """Whether an attempt may be begun beside what has been begun of the same call; None if it may."""
    for other in others:
        if other is attempt or not other.may_have_run(settings):
            continue
        if klass.effect is Effect.UNSAFE:
            return DenialReason.MAY_HAVE_RUN
        if other.is_out and not settings.hedging:
            return DenialReason.STILL_OUT
        if klass.effect is Effect.KEYED:
            if not _drops_repeats(klass.scope, attempt, other):
                return DenialReason.OUT_OF_SCOPE
            assert other.begun_us is not None
            if now_us - other.begun_us >= klass.window_us:
                return DenialReason.WINDOW_OVER
    return None


def _drops_repeats(scope: Scope, attempt: Sending, other: Sending) -> bool:
    """Whether the one's server drops repeats of what the other's may have run."""
    if scope is Scope.ALL:
        return True
    return attempt.zone == other.zone if scope is Scope.ZONE else attempt.group == other.group


class Closing(Enum):
    """What a client's connection is to be closed for."""

    IDLE = "idle"  # it has stayed as it is for too long, or this process leaves
    ROOM = "room"  # its descriptor is needed
    EXHAUSTED = "exhausted"  # the same, and nobody else has one to give


@dataclass(slots=True)
class ClientState:
    """A client's connection, as far as closing it depends on it."""

    owed: bool  # a request was read, and its answer is not written
    begun: bool  # part of a request has come
    heard: bool  # has sent something
    age_s: float  # since it was accepted, or since it is as it is now
    unread: Callable[[], bool]  # asks the kernel


def may_close(client: ClientState, purpose: Closing) -> DenialReason | None:
    """Whether a client's connection may be closed without a word; None if it may.

    A request that crosses the close of a kept connection is sent again by its client. One on a new connection
    is not: it is lost.
    """
    if client.owed:
        return DenialReason.ANSWER_OWED
    if purpose is not Closing.EXHAUSTED:
        if client.begun and (purpose is Closing.IDLE or client.age_s < OVERDUE_S):
            return DenialReason.UNFINISHED
        if not client.heard and client.age_s < FIRST_REQUEST_S:
            return DenialReason.NOT_HEARD
    return DenialReason.UNREAD if client.unread() else None


def may_take_clients(leaving: bool, listening: bool, has_servers: bool) -> DenialReason | None:
    """Whether this process may say that it takes clients; None if it may."""
    if leaving:
        return DenialReason.LEAVING
    if not listening:
        return DenialReason.NOT_LISTENING
    return None if has_servers else DenialReason.NO_SERVERS
