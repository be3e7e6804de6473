"""Requests at the owners of their flow's bucket."""

import math
from collections import Counter, deque
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from mustardhold.tables.packets import Request
from mustardhold.tables.request_messages import EarlyMessage


class RequestState(StrEnum):
    """How far a request has come at one owner.

    A request that ``ENDED`` has had its outcome told, or its whole answer.
    """

    WAITING = 'waiting'
    SENT = 'sent'
    REFUSED = 'refused'
    ENDED = 'ended'


class TimerKind(StrEnum):
    """What a timer of a request is for."""

    DEADLINE = 'deadline'
    FORGET = 'forget'
    RETRY = 'retry'


class RequestRecord(msgspec.Struct):
    """A request that was admitted or refused, or passed through as an owner.

    Attributes
    ----------
    epoch
        Epoch of the view in which this owner first saw the request, or of
        its latest start.
    replaced_epoch
        Epoch of its earlier start, which certainly reached no server; else 0.
    packet
        The request itself while it may still be sent; none afterwards.
    received_at, deadline_at, sent_at
        Readings of the local monotonic clock, in seconds.
    is_primary
        Whether this balancer admitted the request and tells its outcome.
    is_certain
        Whether no earlier sending of an idempotent request can be unknown.
    is_concluded
        Whether this owner, as the last of the chain, has acted on it.
    holds_slot
        Whether the request counts as in flight at its server.
    forwards, sheds
        Number of times it was sent to its server, and refused there.
    parts_seen
        Bits of the parts of its answer that were passed to the caller.
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
    is_concluded: bool = False
    holds_slot: bool = False
    forwards: int = 0
    sheds: int = 0
    parts_seen: int = 0
    replaced_epoch: int = 0


@dataclass(slots=True)
class ConcurrencyWindow:
    """Requests of this owner at one backend server.

    Attributes
    ----------
    limit
        Requests in flight at most; falls when the server sheds.
    response_seconds
        Smoothed time from sending a request to its whole answer.
    non_idempotent_keys, idempotent_keys
        Keys of the non-idempotent and the idempotent requests that wait.
    """

    limit: float
    response_seconds: float = 0
    in_flight: int = 0
    non_idempotent_keys: deque[bytes] = field(default_factory=deque)
    idempotent_keys: deque[bytes] = field(default_factory=deque)


@dataclass(slots=True)
class OwnerSpan:
    """A time as owner of one bucket, without a gap.

    Attributes
    ----------
    since
        Reading of the local monotonic clock, in seconds.
    since_epoch, until_epoch
        Epochs of the views that began and ended it.
    is_complete
        Whether the requests of earlier owners are known as well.
    pages_by_sender
        Pages of earlier requests that have come, while some are missing.
    """

    since: float
    since_epoch: int
    until_epoch: int | None = None
    is_complete: bool = False
    pages_by_sender: dict[str, set[int]] = field(default_factory=dict)


@dataclass(slots=True)
class OwnerHistory:
    """Since when this balancer has known every request of a bucket.

    Attributes
    ----------
    epoch
        Epoch of the view that the history has taken in; none at the start.
    lease_until
        Latest lease seen in that epoch, as a local monotonic reading.
    primary_since_by_bucket
        Local monotonic readings by bucket.
    """

    epoch: int | None = None
    lease_until: float = -math.inf
    spans_by_bucket: dict[int, OwnerSpan] = field(default_factory=dict)
    primary_since_by_bucket: dict[int, float] = field(default_factory=dict)


@dataclass(slots=True)
class RequestTables:
    """All state about requests of one balancer.

    Attributes
    ----------
    timers
        Heap of ``(due, key, what for)``.
    ready_backends
        Servers with a free place in their window and requests that wait.
    retry_tokens_by_service
        Retries that the budget of a service allows now.
    answer_reports_by_owner
        Packed entries of answers seen here, for the primary owners.
    non_idempotent_by_bucket
        Keys of the records of non-idempotent requests.
    handed_over_by_bucket
        Keys of requests of earlier owners, and the local monotonic reading
        at which each is forgotten, by bucket.
    early_messages
        Messages of a newer view, each with the local monotonic reading up to
        which it waits.
    history_queries
        Questions sent for the requests of earlier owners.
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
