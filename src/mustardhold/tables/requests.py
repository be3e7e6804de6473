"""State of requests at the owners of their flow's bucket."""

import math
from collections import Counter, deque
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from mustardhold.tables.packets import Request
from mustardhold.tables.request_messages import EarlyMessage


class RequestState(StrEnum):
    """State of a request at one owner.

    ``ENDED`` means that the outcome was sent or the whole answer forwarded.
    """

    WAITING = 'waiting'
    SENT = 'sent'
    REFUSED = 'refused'
    ENDED = 'ended'


class TimerKind(StrEnum):
    """Purpose of a request's timer."""

    DEADLINE = 'deadline'
    FORGET = 'forget'
    RETRY = 'retry'


class RequestRecord(msgspec.Struct):
    """A request that this owner admitted, refused or forwarded along the chain.

    Attributes
    ----------
    epoch
        Epoch of the view in which this owner first received the request, or
        of the latest start of its chain.
    replaced_epoch
        Epoch of an earlier start of the chain that certainly reached no server;
        0 if there was none.
    packet
        The request itself while it may still be sent; else none.
    received_at, deadline_at, sent_at
        Times on the local monotonic clock, in seconds.
    is_primary
        Whether this balancer admitted the request as primary owner and reports
        its outcome.
    is_certain
        Whether no idempotent request can have been sent earlier without a
        record here.
    is_chain_finished
        Whether this owner, as the last of the chain, has sent the request to
        its server, or dropped it because it does not know the server.
    holds_slot
        Whether the request occupies a slot of the concurrency window.
    forwards, sheds
        Number of times the request was sent to its server, and shed there.
    parts_seen
        Bit mask of the parts of the answer that were forwarded to the caller.
    is_hedged
        Whether a copy was sent to another server.
    """

    flow: bytes
    request_id: bytes
    service: str
    backend_id: str
    idempotent: bool
    epoch: int
    received_at: float
    deadline_at: float
    sent_at: float = 0
    packet: Request | None = None
    state: RequestState = RequestState.SENT
    refusal: str = ''
    is_primary: bool = False
    is_certain: bool = False
    is_chain_finished: bool = False
    holds_slot: bool = False
    forwards: int = 0
    sheds: int = 0
    parts_seen: int = 0
    replaced_epoch: int = 0
    is_hedged: bool = False


@dataclass(slots=True)
class ConcurrencyWindow:
    """Limits the requests that this owner has in flight at one backend server.

    Attributes
    ----------
    limit
        Maximum number of requests in flight; lowered when the server sheds.
    response_seconds
        Smoothed time from sending a request to its whole answer, in seconds.
    non_idempotent_keys, idempotent_keys
        Keys of the waiting non-idempotent and idempotent requests.
    """

    limit: float
    response_seconds: float = 0
    in_flight: int = 0
    non_idempotent_keys: deque[bytes] = field(default_factory=deque)
    idempotent_keys: deque[bytes] = field(default_factory=deque)


@dataclass(slots=True)
class OwnerSpan:
    """An uninterrupted period as an owner of one bucket.

    Attributes
    ----------
    since
        Start of the period, on the local monotonic clock, in seconds.
    since_epoch, until_epoch
        Epochs of the views that began and ended the period; no
        ``until_epoch`` while it lasts.
    is_complete
        Whether the requests of earlier owners are known too.
    pages_by_sender
        Numbers of the received pages of earlier requests, until all of one
        sender are received.
    """

    since: float
    since_epoch: int
    until_epoch: int | None = None
    is_complete: bool = False
    pages_by_sender: dict[str, set[int]] = field(default_factory=dict)


@dataclass(slots=True)
class OwnerHistory:
    """Periods for which this balancer knows all requests of its buckets.

    Attributes
    ----------
    epoch
        Epoch of the latest view that updated the history; none at the start.
    lease_until
        End of the latest lease in that epoch, on the local monotonic clock, in
        seconds.
    primary_since_by_bucket
        Start of the period as primary owner, by bucket, on the local monotonic
        clock, in seconds.
    """

    epoch: int | None = None
    lease_until: float = -math.inf
    spans_by_bucket: dict[int, OwnerSpan] = field(default_factory=dict)
    primary_since_by_bucket: dict[int, float] = field(default_factory=dict)


@dataclass(slots=True)
class RequestTables:
    """Request state of one balancer.

    Attributes
    ----------
    timers
        Heap of ``(due, key, kind)``; ``due`` is a time on the local monotonic
        clock, in seconds.
    ready_backends
        Servers with a free slot in their window and with waiting requests.
    retry_tokens_by_service
        Remaining retry budget of each service, in retries.
    answer_reports_by_owner
        Packed entries about answers forwarded here, to be sent to the primary
        owners.
    non_idempotent_by_bucket
        Keys of the records of non-idempotent requests.
    handed_over_by_bucket
        Keys of the requests of earlier owners by bucket, each with the time
        at which it is forgotten, on the local monotonic clock, in seconds.
    early_messages
        Messages that wait for their view or for the first lease, each with
        its deadline on the local monotonic clock, in seconds.
    history_queries
        Number of queries sent for the requests of earlier owners.
    """

    records_by_key: dict[bytes, RequestRecord] = field(default_factory=dict)
    records_by_service: Counter[str] = field(default_factory=Counter)
    waiting_by_service: Counter[str] = field(default_factory=Counter)
    timers: list[tuple[float, bytes, TimerKind]] = field(default_factory=list)
    windows_by_backend: dict[str, ConcurrencyWindow] = field(
        default_factory=dict
    )
    ready_backends: set[str] = field(default_factory=set)
    retry_tokens_by_service: dict[str, float] = field(default_factory=dict)
    answer_reports_by_owner: dict[str, bytearray] = field(default_factory=dict)
    non_idempotent_by_bucket: dict[int, set[bytes]] = field(
        default_factory=dict
    )
    handed_over_by_bucket: dict[int, dict[bytes, float]] = field(
        default_factory=dict
    )
    history_queries: int = 0
    history: OwnerHistory = field(default_factory=OwnerHistory)
    early_messages: deque[tuple[float, EarlyMessage]] = field(
        default_factory=deque
    )
