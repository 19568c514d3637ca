"""The rules for what may be sent, retried, closed or accepted at this moment: the one place that decides it.

The load balancer chooses; whoever is about to act on a choice states the facts as they are at that moment
and asks here, with nothing awaited between the answer and the act. A denial right after the choice means that
the choice itself was wrong, and is counted as a violation; one at the last moment means that something has
changed since, and is counted by its reason.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from sagetrack.policy.events import NEVER_RAN, Outcome
from sagetrack.policy.settings import Effect, RequestClass, Scope, Settings

FIRST_REQUEST_TIMEOUT_S = 0.5  # for the first request on a new connection, which is not closed before
REQUEST_HEAD_TIMEOUT_S = 2.0  # for a client to send a complete head, or its first byte


class DenialReason(Enum):
    """Why something may not be done now. The values are labels of an exported metric."""

    # Sending
    ALREADY_RESPONDED = "answered"  # the request has had its final response
    CLIENT_DISCONNECTED = "client_gone"  # its client has disconnected
    DEADLINE_EXCEEDED = "out_of_time"  # its client's timeout is over
    SERVER_WITHDRAWN = "server_withdrawn"  # the server drains or is gone
    SERVER_RESTARTED = "server_restarted"  # another incarnation than the one that was chosen
    NOT_LISTED = "not_listed"  # the server is not in the endpoint list
    BODY_CONSUMED = "body_spent"  # some of the body has gone to another server, or will never come
    TOO_MANY_ATTEMPTS = "too_many_attempts"  # the request has had as many as the settings allow
    # Retrying
    MAY_HAVE_RUN = "may_have_run"  # an earlier attempt may have run, and the request is not idempotent
    OUT_OF_SCOPE = "out_of_scope"  # this server does not recognise the key of an attempt that may have run
    WINDOW_OVER = "window_over"  # the servers do not recognise the key any more
    ATTEMPT_IN_FLIGHT = "still_out"  # another attempt is in flight, and hedging is off
    # Closing
    RESPONSE_PENDING = "answer_owed"  # a request was read, and its response is not written
    UNREAD_DATA = "unread"  # data has come that was not read yet
    INCOMPLETE_REQUEST = "unfinished"  # part of a request has come, and its client is in time
    AWAITS_FIRST_REQUEST = (
        "not_heard"  # the connection is new: its first request may be on its way, and would be lost
    )
    # Accepting clients
    SHUTTING_DOWN = "leaving"  # the process drains or shuts down
    NO_SERVERS = "no_servers"  # no server is listed
    NOT_LISTENING = "not_listening"  # the listener is not open yet, or closed


class ServerState(Enum):
    """A server as its upstream pool knows it, compared with the server that was chosen."""

    SERVING = "serving"
    WITHDRAWN = "withdrawn"  # it drains or is gone
    RESTARTED = "restarted"  # it is another incarnation
    NOT_LISTED = "not listed"


_DENIAL_BY_STATE = {
    ServerState.SERVING: None,
    ServerState.WITHDRAWN: DenialReason.SERVER_WITHDRAWN,
    ServerState.RESTARTED: DenialReason.SERVER_RESTARTED,
    ServerState.NOT_LISTED: DenialReason.NOT_LISTED,
}


@dataclass(slots=True, eq=False)
class AttemptRecord:
    """One attempt of a request, as far as its retries depend on it.

    Attributes:
        zone: The zone of its server; -1 if the server is not listed.
        group: The group of its server; -1 if the server is not listed.
        first_byte_us: When its first byte was sent, None if it was not.
        outcome: How it has ended, None if it has not.
    """

    zone: int
    group: int
    first_byte_us: int | None = None
    outcome: Outcome | None = None

    def may_have_run(self, settings: Settings) -> bool:
        """Return whether its server may have executed it, or may yet."""
        if self.first_byte_us is None:
            return False
        if self.outcome is Outcome.REJECTED and settings.rejection_may_have_run:
            return True
        return self.outcome is None or self.outcome not in NEVER_RAN

    @property
    def is_in_flight(self) -> bool:
        """Whether it was sent and has not ended."""
        return self.first_byte_us is not None and self.outcome is None


def may_send(
    answered: bool, remaining_us: int, server: ServerState, has_disconnected: Callable[[], bool]
) -> DenialReason | None:
    """Return why the first byte of an attempt may not be sent now; None if it may.

    Args:
        answered: Whether the request has had its final response.
        remaining_us: What is left of its client's timeout.
        server: The server, compared with the one that was chosen.
        has_disconnected: Asks the kernel whether the client has disconnected. It is called last, so that
            nothing comes between its answer and the first byte.
    """
    if answered:
        return DenialReason.ALREADY_RESPONDED
    if remaining_us <= 0:
        return DenialReason.DEADLINE_EXCEEDED
    if (denial := _DENIAL_BY_STATE[server]) is not None:
        return denial
    return DenialReason.CLIENT_DISCONNECTED if has_disconnected() else None


def may_retry(
    settings: Settings,
    request_class: RequestClass,
    attempt: AttemptRecord,
    others: Iterable[AttemptRecord],
    now_us: int,
) -> DenialReason | None:
    """Return why an attempt may not be sent in addition to those that were sent; None if it may.

    Args:
        settings: The settings of the load balancer.
        request_class: The class of the request.
        attempt: The attempt in question.
        others: All attempts of the request; `attempt` may be among them.
        now_us: The time now.
    """
    for other in others:
        if other is attempt or not other.may_have_run(settings):
            continue
        denial = _denial_given_other(settings, request_class, attempt, other, now_us)
        if denial is not None:
            return denial
    return None


def _denial_given_other(
    settings: Settings, request_class: RequestClass, attempt: AttemptRecord, other: AttemptRecord, now_us: int
) -> DenialReason | None:
    """Return why an attempt may not be sent in addition to another one that may have run."""
    if request_class.effect is Effect.UNSAFE:
        return DenialReason.MAY_HAVE_RUN
    if other.is_in_flight and not settings.hedging:
        return DenialReason.ATTEMPT_IN_FLIGHT
    if request_class.effect is Effect.KEYED:
        if not _recognises_key(request_class.scope, attempt, other):
            return DenialReason.OUT_OF_SCOPE
        assert other.first_byte_us is not None
        if now_us - other.first_byte_us >= request_class.window_us:
            return DenialReason.WINDOW_OVER
    return None


def _recognises_key(scope: Scope, attempt: AttemptRecord, other: AttemptRecord) -> bool:
    """Return whether the server of `attempt` drops a duplicate of what the server of `other` may have run."""
    if scope is Scope.ALL:
        return True
    return attempt.zone == other.zone if scope is Scope.ZONE else attempt.group == other.group


class CloseReason(Enum):
    """Why a client's connection is to be closed."""

    IDLE = "idle"  # it has not changed for too long, or this process shuts down
    RECLAIM_DESCRIPTOR = "room"  # its descriptor is needed
    DESCRIPTORS_EXHAUSTED = "exhausted"  # its descriptor is needed, and no other connection has one to give


@dataclass(slots=True)
class ClientConnectionState:
    """A client's connection, as far as closing it depends on it.

    Attributes:
        response_pending: Whether a request was read and its response is not written.
        request_incomplete: Whether part of a request has come.
        has_sent_data: Whether anything was ever received on it.
        age_s: Time since it was accepted, or since it last changed.
        has_unread_data: Asks the kernel whether there is data that was not read.
    """

    response_pending: bool
    request_incomplete: bool
    has_sent_data: bool
    age_s: float
    has_unread_data: Callable[[], bool]


def may_close(client: ClientConnectionState, reason: CloseReason) -> DenialReason | None:
    """Return why a client's connection may not be closed without a response; None if it may.

    A request that crosses the close of a reused connection is sent again by its client. One on a new
    connection is not: it is lost.
    """
    if client.response_pending:
        return DenialReason.RESPONSE_PENDING
    if reason is not CloseReason.DESCRIPTORS_EXHAUSTED:
        is_in_time = client.age_s < REQUEST_HEAD_TIMEOUT_S
        if client.request_incomplete and (reason is CloseReason.IDLE or is_in_time):
            return DenialReason.INCOMPLETE_REQUEST
        if not client.has_sent_data and client.age_s < FIRST_REQUEST_TIMEOUT_S:
            return DenialReason.AWAITS_FIRST_REQUEST
    return DenialReason.UNREAD_DATA if client.has_unread_data() else None


def may_accept_clients(draining: bool, listening: bool, has_servers: bool) -> DenialReason | None:
    """Return why this process may not announce that it accepts clients; None if it may."""
    if draining:
        return DenialReason.SHUTTING_DOWN
    if not listening:
        return DenialReason.NOT_LISTENING
    return None if has_servers else DenialReason.NO_SERVERS
