"""Evidence of servers that answer badly, and the state of its collector."""

from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Annotated, Final, NamedTuple

import msgspec

EVIDENCE_PATH: Final = '/evidence'
MAX_POSTED_SERVERS: Final = 512
MAX_COLLECTED_SERVICES: Final = 1_024
MAX_REPORTERS: Final = 12_000
SLICE_SECONDS: Final = 0.5
SLICES_PER_WINDOW: Final = 6
WINDOW_SECONDS: Final = SLICE_SECONDS * SLICES_PER_WINDOW
# A balancer sends good outcomes with the next bad one. It keeps them for longer
# than it takes to see one, or the share of bad ones would look too large.
MAX_EVIDENCE_SECONDS: Final = 30.0

# More than any balancer can see; sums of such loads are still exact enough.
MAX_BUSY_MS: Final = 10**12

OutcomeCount = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
EvidenceName = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class ServerEvidence(
    msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True
):
    """What one balancer saw of a server's answers."""

    token: int
    late: OutcomeCount
    short: OutcomeCount
    good: OutcomeCount

    @property
    def bad(self) -> int:
        """Number of answers that were late or short."""
        return self.late + self.short


class EvidencePost(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one balancer saw of a service since its last post.

    Attributes
    ----------
    reporter
        Name of the balancer.
    age_ms
        Age of the oldest outcome, in milliseconds.
    busy_ms
        Sum of the times to the first byte of the answers in time since then.
    """

    reporter: EvidenceName
    service: EvidenceName
    age_ms: int
    busy_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_BUSY_MS)]
    servers: Annotated[
        tuple[ServerEvidence, ...], msgspec.Meta(max_length=MAX_POSTED_SERVERS)
    ]


class EvidenceReply(msgspec.Struct, frozen=True):
    """Accepts evidence.

    Attributes
    ----------
    pause_ms
        Time until the collector wants the next post of this balancer for the
        service, in milliseconds.
    """

    pause_ms: int


@dataclass(slots=True)
class EvidenceSum:
    """Sum of the evidence on one server.

    Attributes
    ----------
    late_by_reporter, short_by_reporter
        Late and short answers by balancer.
    first_bad_at, last_bad_at
        When posts first and last named a bad answer; local clock, in seconds.
    """

    late: int = 0
    short: int = 0
    good: int = 0
    late_by_reporter: Counter[str] = field(default_factory=Counter)
    short_by_reporter: Counter[str] = field(default_factory=Counter)
    first_bad_at: float = float('inf')
    last_bad_at: float = float('-inf')


@dataclass(slots=True)
class EvidenceSlice:
    """Evidence of a part of the window, from ``started_at`` on."""

    started_at: float
    sums_by_token: dict[int, EvidenceSum] = field(default_factory=dict)
    posts_by_reporter: Counter[str] = field(default_factory=Counter)


class ReportedLoad(NamedTuple):
    """Requests in progress on average that one balancer saw answered in time.

    ``reported_at`` is on the local clock, in seconds.
    """

    reported_at: float
    in_progress: float


@dataclass(slots=True)
class SuspicionTerm:
    """The latest suspicion of a server.

    Attributes
    ----------
    seconds
        How long it lasts.
    began_at, until
        When it began and ends; local clock, in seconds.
    is_ended
        Whether its end has been logged.
    """

    seconds: float
    began_at: float
    until: float
    is_ended: bool = False


@dataclass(slots=True)
class ServiceEvidence:
    """Evidence on the servers of one service.

    Attributes
    ----------
    slices
        Evidence of the window, oldest first.
    loads_by_reporter
        Latest load that each balancer reported.
    evaluated_at
        When the servers were last compared; local clock, in seconds.
    """

    slices: deque[EvidenceSlice] = field(
        default_factory=lambda: deque(maxlen=SLICES_PER_WINDOW + 1)
    )
    loads_by_reporter: dict[str, ReportedLoad] = field(default_factory=dict)
    evaluated_at: float = float('-inf')


@dataclass(slots=True)
class CollectedServers:
    """Tokens of all servers by service, kept for a time.

    ``made_at`` is on the local clock, in seconds.
    """

    made_at: float = float('-inf')
    tokens_by_service: dict[str, list[int]] = field(default_factory=dict)


@dataclass(slots=True)
class EvidenceCollector:
    """State of a control instance that collects evidence.

    Attributes
    ----------
    terms_by_token
        Latest suspicions that this collector began.
    servers
        Servers of the directory by service.
    """

    services_by_name: dict[str, ServiceEvidence] = field(default_factory=dict)
    terms_by_token: dict[int, SuspicionTerm] = field(default_factory=dict)
    servers: CollectedServers = field(default_factory=CollectedServers)


class Detection(msgspec.Struct, frozen=True):
    """A suspicion that has just begun, and the evidence for it.

    Attributes
    ----------
    expected
        Bad answers expected of a server with its share of the work, if it were
        like the others.
    seconds
        How long the suspicion lasts.
    age_seconds
        Age of the oldest evidence.
    is_renewal
        Whether the server was suspect shortly before.
    """

    token: int
    late: int
    short: int
    good: int
    reporters: int
    expected: float
    seconds: float
    age_seconds: float
    is_renewal: bool
