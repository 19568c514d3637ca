"""Rules that decide whether an attempt may be sent or retried, or a connection closed or accepted.

All such checks are made here. The load balancer makes a decision; the code that is about to carry it out
calls these functions with the current state, and nothing is awaited between the check and the action.

If the check fails immediately after the decision, the decision itself was wrong; an unsafe retry is then
counted as an invariant violation. If it fails just before sending, the state has changed since the decision.
Every denied attempt is counted by its reason.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from sagetrack.policy.events import NEVER_RAN, Outcome
from sagetrack.policy.settings import Effect, RequestClass, Scope, Settings

FIRST_REQUEST_TIMEOUT_S = 0.5  # a new connection is kept open at least this long for its first request
REQUEST_HEAD_TIMEOUT_S = 2.0  # time allowed for a client to send a complete request head, or its first byte


class DenialReason(Enum):
    """Reason why an action is not allowed. The values are label values of an exported metric."""

    # Sending an attempt
    ALREADY_RESPONDED = "answered"  # the final response was already sent
    CLIENT_DISCONNECTED = "client_gone"
    DEADLINE_EXCEEDED = "out_of_time"  # the client's timeout has expired
    SERVER_WITHDRAWN = "server_withdrawn"  # the server is draining or gone
    SERVER_RESTARTED = "server_restarted"  # the server is another incarnation than the chosen one
    NOT_LISTED = "not_listed"  # the server is not in the endpoint list
    # Part of the body was forwarded to another server, or the rest of it will never arrive.
    BODY_CONSUMED = "body_spent"
    TOO_MANY_ATTEMPTS = "too_many_attempts"  # the request has reached the configured maximum of attempts
    # Retrying
    MAY_HAVE_RUN = "may_have_run"  # an earlier attempt may have run, and the request is not idempotent
    # An earlier attempt may have run, and this server does not recognise its idempotency key.
    OUT_OF_SCOPE = "out_of_scope"
    WINDOW_OVER = "window_over"  # the servers no longer recognise the idempotency key
    ATTEMPT_IN_FLIGHT = "still_out"  # another attempt is in flight, and hedging is disabled
    # Closing a client connection
    RESPONSE_PENDING = "answer_owed"  # a request was read, and its response is not written yet
    UNREAD_DATA = "unread"  # the client has sent data that was not read yet
    INCOMPLETE_REQUEST = "unfinished"  # part of a request was received, and its time limit has not expired
    # The connection is new: a first request may be in transit, and would be lost.
    AWAITS_FIRST_REQUEST = "not_heard"
    # Accepting clients
    SHUTTING_DOWN = "leaving"  # the process is draining or shutting down
    NO_SERVERS = "no_servers"  # no server is listed
    NOT_LISTENING = "not_listening"  # the listener is not open yet, or already closed


class ServerState(Enum):
    """State of a server in its upstream pool, compared with the server that was chosen."""

    SERVING = "serving"
    WITHDRAWN = "withdrawn"  # draining or gone
    RESTARTED = "restarted"  # another incarnation than the chosen one
    NOT_LISTED = "not listed"


_DENIAL_BY_STATE = {
    ServerState.SERVING: None,
    ServerState.WITHDRAWN: DenialReason.SERVER_WITHDRAWN,
    ServerState.RESTARTED: DenialReason.SERVER_RESTARTED,
    ServerState.NOT_LISTED: DenialReason.NOT_LISTED,
}


@dataclass(slots=True, eq=False)
class AttemptRecord:
    """The properties of an attempt that determine whether the request may be retried.

    Attributes:
        zone: The zone of the server; -1 if the server is not listed.
        group: The group of the server; -1 if the server is not listed.
        first_byte_us: Time at which the first byte of the request was sent; None if nothing was sent.
        outcome: The outcome of the attempt; None until it has ended.
    """

    zone: int
    group: int
    first_byte_us: int | None = None
    outcome: Outcome | None = None

    def may_have_run(self, settings: Settings) -> bool:
        """Return whether the server may have executed the request, or may still execute it."""
        if self.first_byte_us is None:
            return False
        if self.outcome is Outcome.REJECTED and settings.rejection_may_have_run:
            return True
        return self.outcome is None or self.outcome not in NEVER_RAN

    @property
    def is_in_flight(self) -> bool:
        """True if the first byte was sent and the attempt has not ended."""
        return self.first_byte_us is not None and self.outcome is None


def may_send(
    responded: bool, remaining_us: int, server: ServerState, has_disconnected: Callable[[], bool]
) -> DenialReason | None:
    """Return the reason why the first byte of an attempt may not be sent now; None if it may.

    Args:
        responded: True if the final response was already sent.
        remaining_us: Time left until the client's deadline.
        server: The state of the server, compared with the one that was chosen.
        has_disconnected: Asks the kernel whether the client has disconnected. It is called last, immediately
            before the first byte is sent.
    """
    if responded:
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
    """Return the reason why an attempt may not be sent in addition to earlier attempts; None if it may.

    Args:
        settings: The settings of the load balancer.
        request_class: The class of the request.
        attempt: The attempt to be sent.
        others: The attempts of the request; `attempt` itself may be among them.
        now_us: The current time.
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
    """Return the reason why an attempt may not be sent after `other`, which may have run; None if it may."""
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
    """Return whether the server of `attempt` recognises the key of a request that `other` may have run."""
    if scope is Scope.ALL:
        return True
    return attempt.zone == other.zone if scope is Scope.ZONE else attempt.group == other.group


class CloseReason(Enum):
    """Reason for closing a client connection."""

    IDLE = "idle"  # the connection was idle for too long, or the process is shutting down
    RECLAIM_DESCRIPTOR = "room"  # its file descriptor is needed elsewhere
    # Its file descriptor is needed elsewhere, and none can be reclaimed from another connection.
    DESCRIPTORS_EXHAUSTED = "exhausted"
    RECLAIM_MEMORY = "memory"  # its memory is needed elsewhere


@dataclass(slots=True)
class ClientConnectionState:
    """The properties of a client connection that determine whether it may be closed.

    Attributes:
        response_pending: True if a request was read and its response is not written yet.
        request_incomplete: True if only part of a request was received.
        has_sent_data: True if the client has ever sent data on this connection.
        age_s: Seconds since the connection was accepted, or since its state last changed.
        has_unread_data: Asks the kernel whether received data is waiting to be read.
    """

    response_pending: bool
    request_incomplete: bool
    has_sent_data: bool
    age_s: float
    has_unread_data: Callable[[], bool]


def may_close(client: ClientConnectionState, reason: CloseReason) -> DenialReason | None:
    """Return the reason why a client connection may not be closed without a response; None if it may.

    If a close crosses a request in transit on a reused connection, the client sends the request again. On a
    new connection it does not, and the request is lost.
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
    """Return the reason why this process may not report itself ready for clients; None if it may."""
    if draining:
        return DenialReason.SHUTTING_DOWN
    if not listening:
        return DenialReason.NOT_LISTENING
    return None if has_servers else DenialReason.NO_SERVERS
