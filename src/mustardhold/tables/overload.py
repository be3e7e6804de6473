"""State of the admission control of a balancer, by service.

Times are on the local monotonic clock, in seconds. All tables are bounded and
may be lost: then everything is admitted.
"""

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from mustardhold.tables.answer_tracking import RecentAnswers

# Beyond these, the service or caller that asked longest ago is forgotten. A
# balancer gets too few openings to evaluate more services.
MAX_CONTROLLED_SERVICES: Final = 32
MAX_COUNTED_CALLERS: Final = 512
MAX_REFUSED_FLOWS: Final = 4_096
WINDOW_SECONDS: Final = 4


class OpeningClass(NamedTuple):
    """Class of openings; the lowest one is the most important."""

    priority: int
    is_repeatable: bool

    def __str__(self) -> str:
        kind = 'repeatable' if self.is_repeatable else 'unrepeatable'
        return f'priority-{self.priority}-{kind}'


class Opening(NamedTuple):
    """An opening to decide on.

    Attributes
    ----------
    caller
        IP address of the caller.
    attempt
        Number of times the caller sent this opening before.
    """

    flow: bytes
    caller: int
    service: str
    opening_class: OpeningClass
    attempt: int


@dataclass(slots=True)
class DecayedCount:
    """A count that decays exponentially, as of ``counted_at``."""

    amount: float = 0
    counted_at: float = float('-inf')


@dataclass(slots=True)
class ClassDemand:
    """Openings of one class, admitted or not.

    Attributes
    ----------
    counted_since
        When the first one was counted.
    counts_by_caller
        Openings by IP address, the latest caller last.
    admitted_share
        Share of the openings that is admitted at present.
    fair_count
        Most openings of a caller's count that are admitted; the share of a
        caller that asks more is smaller.
    """

    counted_since: float
    openings: DecayedCount = field(default_factory=DecayedCount)
    counts_by_caller: OrderedDict[int, DecayedCount] = field(
        default_factory=OrderedDict
    )
    admitted_share: float = 1
    fair_count: float = math.inf


@dataclass(slots=True)
class ServiceLoad:
    """What a balancer knows of the load of one service.

    Attributes
    ----------
    demand_by_class
        Demand by class of openings.
    admitted, counted_since
        Openings admitted since a time.
    window
        Answers of the last seconds, one entry for each.
    rate_limit
        Openings a second that are admitted; infinite without overload.
    overload_rate
        Openings a second at which most answers were late at the last fall.
    level
        Share of the openings that is admitted.
    is_probing
        Whether no answer has been late since the last fall.
    admitted_rate
        Openings a second that were admitted before the latest check.
    headroom_since
        Since when the limit has been above the demand.
    checked_at, shared_at
        When the limit was last adapted, and when it was last shared out. After
        a fall, ``checked_at`` is ahead, so that the next check comes later.
    """

    demand_by_class: dict[OpeningClass, ClassDemand] = field(
        default_factory=dict
    )
    admitted: int = 0
    counted_since: float = float('-inf')
    window: deque[RecentAnswers] = field(
        default_factory=lambda: deque(maxlen=WINDOW_SECONDS)
    )
    rate_limit: float = math.inf
    overload_rate: float = math.inf
    level: float = 1
    is_probing: bool = False
    admitted_rate: float = 0
    headroom_since: float = math.inf
    checked_at: float = float('-inf')
    shared_at: float = float('-inf')


class LevelChange(NamedTuple):
    """A level that begins to fall, or is back at 1, with its inputs.

    Attributes
    ----------
    answers
        Sum over the window, where a server counts once for each second.
    demand
        Openings a second.
    """

    service: str
    level: float
    answers: RecentAnswers
    demand: float


@dataclass(slots=True)
class OverloadControl:
    """Admission control of a balancer.

    Attributes
    ----------
    version
        Version of the configuration that ``services`` was derived from.
    services
        Services whose openings may be refused.
    loads_by_service
        Loads of those that were asked for, the latest one last.
    refused_at_by_flow
        Flows that were refused and may be repeated, the oldest first.
    changes
        Changes of levels that are not logged yet.
    """

    version: int = -1
    services: frozenset[str] = frozenset()
    loads_by_service: OrderedDict[str, ServiceLoad] = field(
        default_factory=OrderedDict
    )
    refused_at_by_flow: OrderedDict[bytes, float] = field(
        default_factory=OrderedDict
    )
    changes: list[LevelChange] = field(default_factory=list)
