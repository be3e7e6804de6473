"""Counts how requests were answered, by service and by server."""

from collections.abc import Iterator
from operator import attrgetter

from mustardhold.systems.server_load import limit_request
from mustardhold.tables.answer_tracking import (
    MAX_BEGUN_PER_SLICE,
    MAX_TRACKED_ROUTES,
    MAX_TRACKED_SERVERS,
    MAX_TRACKED_SERVICES,
    SLICE_SECONDS,
    SLICES_PER_WINDOW,
    AnswerSlice,
    AnswerTracking,
    RecentAnswers,
    RouteAnswers,
    ServerOutcomes,
    ServiceAnswers,
)
from mustardhold.tables.configurations import ServiceRoute
from mustardhold.tables.server_evidence import (
    MAX_EVIDENCE_SECONDS,
    MAX_POSTED_SERVERS,
    EvidencePost,
    ServerEvidence,
)

NOTHING_RECENT = RecentAnswers()
MILLISECONDS = 1000


def track_service(
    tracking: AnswerTracking, now: float, name: str
) -> ServiceAnswers | None:
    """Return the state of a service; None if the table is full."""
    services = tracking.services_by_name
    service = services.get(name)
    if service is None and len(services) < MAX_TRACKED_SERVICES:
        service = ServiceAnswers(name, now)
        services[name] = service
    return service


def track_route(
    tracking: AnswerTracking, route: ServiceRoute
) -> RouteAnswers | None:
    """Return the state of a route, with its current target latency."""
    routes = tracking.routes_by_name
    known = routes.get(route.name)
    if known is None:
        if len(routes) >= MAX_TRACKED_ROUTES:
            return None
        known = RouteAnswers()
        routes[route.name] = known
    if known.target_latency is not route.target_latency:
        known.target_latency = route.target_latency
        known.target_seconds = route.target_latency.total_seconds()
    if known.timeout is not route.timeout or not known.in_flight_seconds:
        known.timeout = route.timeout
        known.in_flight_seconds = limit_request(route.timeout)
    return known


def count_begun(service: ServiceAnswers, now: float, token: int) -> bool:
    """Count a request that began; return whether to track it."""
    current = current_slice(service, now)
    if current.begun >= MAX_BEGUN_PER_SLICE:
        service.left_out += 1
        return False
    service.begun += 1
    current.begun += 1
    current.asked_tokens.add(token)
    return True


def count_answer(
    service: ServiceAnswers, now: float, token: int, *, is_late: bool
) -> None:
    """Count an answer that began in time, or a request that is late."""
    current = current_slice(service, now)
    current.asked_tokens.add(token)
    if is_late:
        current.late += 1
        current.late_tokens.add(token)
        count_late(service, token)
    else:
        current.in_time += 1


def count_late(service: ServiceAnswers, token: int) -> None:
    """Count a late answer among the outcomes of a server."""
    outcomes = outcomes_of(service, token)
    if outcomes is not None:
        outcomes.late += 1
        service.has_bad = True


def count_unanswered_opening(
    tracking: AnswerTracking, service_name: str, token: int
) -> None:
    """Count an opening that a server left unanswered as late.

    Services that no request is tracked of have no route with a target latency.
    """
    service = tracking.services_by_name.get(service_name)
    if service is not None:
        count_late(service, token)


def current_slice(service: ServiceAnswers, now: float) -> AnswerSlice:
    """Return the slice of the window that the present belongs to."""
    slices = service.slices
    if not slices or now >= slices[-1].started_at + SLICE_SECONDS:
        # The deque has a limit: the oldest slice goes.
        slices.append(AnswerSlice(now))
    return slices[-1]


def outcomes_of(service: ServiceAnswers, token: int) -> ServerOutcomes | None:
    """Return the outcomes of a server; None if the table is full."""
    outcomes = service.outcomes_by_token.get(token)
    if outcomes is None and len(service.outcomes_by_token) < (
        MAX_TRACKED_SERVERS
    ):
        outcomes = ServerOutcomes()
        service.outcomes_by_token[token] = outcomes
    return outcomes


def recent_answers(
    tracking: AnswerTracking, service_name: str, now: float
) -> RecentAnswers:
    """Return what was seen of a service's requests within the last second.

    The costs grow with the servers that were asked, so a caller for each packet
    has to keep the result for a time.
    """
    service = tracking.services_by_name.get(service_name)
    if service is None:
        return NOTHING_RECENT
    oldest = now - SLICE_SECONDS * SLICES_PER_WINDOW
    while service.slices and service.slices[0].started_at < oldest:
        service.slices.popleft()
    slices = service.slices
    asked: set[int] = set()
    late: set[int] = set()
    for part in slices:
        asked |= part.asked_tokens
        late |= part.late_tokens
    return RecentAnswers(
        sum(part.begun for part in slices),
        sum(part.in_time for part in slices),
        sum(part.late for part in slices),
        len(asked),
        len(late),
    )


def take_evidence(
    service: ServiceAnswers, now: float, reporter: str
) -> EvidencePost | None:
    """Take a service's outcomes to post them; None if none is bad.

    Good outcomes are posted with bad ones, which count in relation to work.
    Without bad ones they are dropped after a time.
    """
    age = now - service.taken_at
    if not service.has_bad:
        if age > MAX_EVIDENCE_SECONDS:
            reset_outcomes(service, now)
        return None
    servers = sorted(
        list_outcomes(service), key=attrgetter('bad', 'good'), reverse=True
    )
    left_out = service.left_out / max(service.begun, 1)
    busy_seconds = service.busy_seconds * (1 + left_out)
    reset_outcomes(service, now)
    return EvidencePost(
        reporter,
        service.name,
        round(age * MILLISECONDS),
        round(busy_seconds * MILLISECONDS),
        tuple(servers[:MAX_POSTED_SERVERS]),
    )


def list_outcomes(service: ServiceAnswers) -> Iterator[ServerEvidence]:
    """Yield the outcomes by server."""
    for token, one in service.outcomes_by_token.items():
        yield ServerEvidence(token, one.late, one.short, one.good)


def reset_outcomes(service: ServiceAnswers, now: float) -> None:
    """Begin to count outcomes anew."""
    service.outcomes_by_token = {}
    service.has_bad = False
    service.busy_seconds = 0
    service.begun = 0
    service.left_out = 0
    service.taken_at = now
