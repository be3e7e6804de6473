"""State of the tracker that watches how servers answer requests.

A balancer sees only the packets of callers. Their acknowledgements tell when
an answer arrives and how long it is. All tables are bounded, and may be lost:
they only guide where new flows go.
"""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum, auto
from typing import Final

import msgspec

from mustardhold.tables.server_load import ServerLoad

MAX_TRACKED_FLOWS: Final = 8_192
MAX_TRACKED_SERVICES: Final = 1_024
MAX_TRACKED_ROUTES: Final = 4_096
# Servers of one service in a window; more than a service of the plan has.
MAX_TRACKED_SERVERS: Final = 4_096
SLICE_SECONDS: Final = 0.1
SLICES_PER_WINDOW: Final = 10
# A request takes some 10 microseconds to track. Above 500 a second of a service
# a sample tells as much, and leaves the core to the packets.
MAX_BEGUN_PER_SLICE: Final = 50


class RequestPhase(Enum):
    """How far the latest request of a flow has come."""

    IDLE = auto()
    WAITING = auto()
    ANSWERING = auto()


class RecentAnswers(msgspec.Struct, frozen=True):
    """What a balancer saw of a service's requests within the last second.

    Attributes
    ----------
    begun
        Requests that began; of more than 500 a second only these are tracked.
    in_time, late
        Requests whose answer began within the target latency, and those whose
        answer did not; each counted when that is known.
    asked_servers, late_servers
        Number of distinct servers among those that requests went to, and among
        those that were late.
    """

    begun: int = 0
    in_time: int = 0
    late: int = 0
    asked_servers: int = 0
    late_servers: int = 0


@dataclass(slots=True)
class AnswerSlice:
    """Counts of a part of the window, from ``started_at`` on."""

    started_at: float
    begun: int = 0
    in_time: int = 0
    late: int = 0
    asked_tokens: set[int] = field(default_factory=set)
    late_tokens: set[int] = field(default_factory=set)


@dataclass(slots=True)
class ServerOutcomes:
    """Outcomes at one server since they were last taken.

    Attributes
    ----------
    late
        Requests without any answer byte within the target latency, and
        openings without an answer.
    short
        Complete answers much shorter than usual, as failures are.
    good
        Complete answers in time and of usual length.
    """

    late: int = 0
    short: int = 0
    good: int = 0


@dataclass(slots=True)
class ServiceAnswers:
    """What is known of the answers of one service.

    Attributes
    ----------
    slices
        Counts of the last second, oldest first.
    outcomes_by_token
        Outcomes by server since they were last taken.
    has_bad
        Whether any of these outcomes is bad.
    taken_at
        When they were last taken; local clock, in seconds.
    busy_seconds
        Sum of the times to the first byte of the answers in time since then.
    begun, left_out
        Requests since then that are tracked, and those that the sample leaves
        out.
    """

    name: str
    taken_at: float
    slices: deque[AnswerSlice] = field(
        default_factory=lambda: deque(maxlen=SLICES_PER_WINDOW + 1)
    )
    outcomes_by_token: dict[int, ServerOutcomes] = field(default_factory=dict)
    has_bad: bool = False
    busy_seconds: float = 0
    begun: int = 0
    left_out: int = 0


@dataclass(slots=True)
class RouteAnswers:
    """What is usual for the answers of one route.

    Attributes
    ----------
    answers
        Number of complete answers seen.
    usual_bytes
        Moving average of their length.
    in_flight_seconds
        For how long a request counts as in flight at most.
    """

    target_latency: timedelta = timedelta()
    timeout: timedelta = timedelta()
    target_seconds: float = 0
    in_flight_seconds: float = 0
    answers: int = 0
    usual_bytes: float = 0


@dataclass(slots=True)
class TrackedFlow:
    """The latest request of a flow.

    Attributes
    ----------
    token
        Server that the request was sent to.
    sent
        Sequence number after the last byte that the caller sent.
    acknowledged
        Latest acknowledgement of the caller.
    acknowledged_before
        Its acknowledgement when the request began.
    requested_at
        When the latest packet of the request arrived; local clock, in seconds.
    answered_at
        When the acknowledgement last advanced; local clock, in seconds.
    is_late
        Whether the request has been counted as late.
    is_scheduled
        Whether a check of the request is due at some time.
    """

    token: int
    service: ServiceAnswers
    route: RouteAnswers
    sent: int
    acknowledged: int
    acknowledged_before: int = 0
    requested_at: float = 0
    answered_at: float = 0
    phase: RequestPhase = RequestPhase.IDLE
    is_late: bool = False
    is_scheduled: bool = False


@dataclass(slots=True)
class AnswerTracking:
    """The tracked flows of a balancer, and what they tell of the servers.

    Attributes
    ----------
    flows_by_key
        Latest requests by flow; the one that began first is evicted first.
    due
        Heap of flows to check for a late or complete answer, by time.
    checked_at
        When the due flows were last checked; local clock, in seconds.
        Infinite before the first check.
    untracked
        Requests that were evicted or not tracked because a table was full.
    load
        Requests in flight by server; ``None`` if servers are not chosen by
        load.
    """

    flows_by_key: dict[bytes, TrackedFlow] = field(default_factory=dict)
    due: list[tuple[float, bytes]] = field(default_factory=list)
    services_by_name: dict[str, ServiceAnswers] = field(default_factory=dict)
    routes_by_name: dict[str, RouteAnswers] = field(default_factory=dict)
    checked_at: float = float('inf')
    untracked: int = 0
    load: ServerLoad | None = None
