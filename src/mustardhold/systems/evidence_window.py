"""Checks evidence and keeps it for a window of some seconds."""

from enum import StrEnum

from mustardhold.tables.directory import Directory
from mustardhold.tables.server_evidence import (
    MAX_COLLECTED_SERVICES,
    MAX_EVIDENCE_SECONDS,
    MAX_REPORTERS,
    SLICE_SECONDS,
    WINDOW_SECONDS,
    EvidenceCollector,
    EvidencePost,
    EvidenceSlice,
    EvidenceSum,
    ReportedLoad,
    ServerEvidence,
    ServiceEvidence,
)

MILLISECONDS = 1000
# A balancer posts every 200 ms at most; some posts may be held up and arrive
# together.
MAX_POSTS_PER_SLICE = 6
# Requests from before a suspicion turn out late until about the target latency
# of a slow route has passed.
GRACE_SECONDS = 1.5
MIN_PAUSE_SECONDS = 0.2
# A post takes about a millisecond of the half core of a control instance.
MAX_POSTS_PER_SECOND = 100


class EvidenceVerdict(StrEnum):
    """What became of a post."""

    ACCEPTED = 'accepted'
    DATED_AHEAD = 'dated-ahead'
    OUTDATED = 'outdated'
    TOO_MANY = 'too-many'
    UNKNOWN_SERVERS = 'unknown-servers'


def add_evidence(
    collector: EvidenceCollector,
    directory: Directory,
    now: float,
    post: EvidencePost,
) -> EvidenceVerdict:
    """Add a post to the window if it can be believed.

    Servers that are unknown, or of another service, are left out.
    """
    if post.age_ms < 0:
        return EvidenceVerdict.DATED_AHEAD
    if post.age_ms > 2 * MAX_EVIDENCE_SECONDS * MILLISECONDS:
        return EvidenceVerdict.OUTDATED
    known = [
        one
        for one in post.servers
        if is_of_service(directory, one.token, post.service)
    ]
    service = find_service(collector, now, post.service) if known else None
    if known and (service is None or not count_post(service, now, post)):
        return EvidenceVerdict.TOO_MANY
    if service is not None and known:
        record_load(service, now, post)
        for one in known:
            if is_after_suspicion(collector, now, one.token):
                add_to_sum(service.slices[-1], now, post.reporter, one)
    if len(known) < len(post.servers):
        return EvidenceVerdict.UNKNOWN_SERVERS
    return EvidenceVerdict.ACCEPTED


def find_service(
    collector: EvidenceCollector, now: float, name: str
) -> ServiceEvidence | None:
    """Return the evidence of a service; None if the table is full."""
    services = collector.services_by_name
    service = services.get(name)
    if service is not None:
        return service
    if len(services) >= MAX_COLLECTED_SERVICES:
        forget_idle_services(services, now)
    if len(services) >= MAX_COLLECTED_SERVICES:
        return None
    service = ServiceEvidence()
    services[name] = service
    return service


def forget_idle_services(
    services: dict[str, ServiceEvidence], now: float
) -> None:
    """Forget the services of which nothing was posted lately."""
    oldest = now - MAX_EVIDENCE_SECONDS
    for name, service in tuple(services.items()):
        if not service.slices or service.slices[-1].started_at < oldest:
            services.pop(name)


def is_after_suspicion(
    collector: EvidenceCollector, now: float, token: int
) -> bool:
    """Return whether evidence may be of requests after the last suspicion."""
    term = collector.terms_by_token.get(token)
    return term is None or now >= term.began_at + GRACE_SECONDS


def is_of_service(directory: Directory, token: int, service: str) -> bool:
    """Return whether a token is that of a server of a service."""
    server = directory.servers_by_token.get(token)
    return server is not None and server.report.service == service


def count_post(
    service: ServiceEvidence, now: float, post: EvidencePost
) -> bool:
    """Count a post; return whether its reporter may post that often."""
    posts = current_slice(service, now).posts_by_reporter
    if post.reporter not in posts and len(posts) >= MAX_REPORTERS:
        return False
    posts[post.reporter] += 1
    return posts[post.reporter] <= MAX_POSTS_PER_SLICE


def record_load(
    service: ServiceEvidence, now: float, post: EvidencePost
) -> None:
    """Record the load that a balancer reports."""
    loads = service.loads_by_reporter
    loads.pop(post.reporter, None)
    if len(loads) >= MAX_REPORTERS:
        loads.pop(next(iter(loads)))
    in_progress = post.busy_ms / max(post.age_ms, 1)
    loads[post.reporter] = ReportedLoad(now, in_progress)


def sum_load(service: ServiceEvidence, now: float) -> float:
    """Return the number of requests in progress by the latest reports.

    The balancer with the most counts for no more than all others together: one
    that lies must not end all suspicions.
    """
    oldest = now - MAX_EVIDENCE_SECONDS
    loads = [
        load.in_progress
        for load in service.loads_by_reporter.values()
        if load.reported_at > oldest
    ]
    return min(sum(loads), 2 * (sum(loads) - max(loads, default=0)))


def add_to_sum(
    current: EvidenceSlice, now: float, reporter: str, evidence: ServerEvidence
) -> None:
    """Add what a balancer saw of a server."""
    known = current.sums_by_token.get(evidence.token)
    if known is None:
        known = EvidenceSum()
        current.sums_by_token[evidence.token] = known
    known.late += evidence.late
    known.short += evidence.short
    known.good += evidence.good
    if evidence.bad:
        known.late_by_reporter[reporter] += evidence.late
        known.short_by_reporter[reporter] += evidence.short
        known.first_bad_at = min(known.first_bad_at, now)
        known.last_bad_at = now


def current_slice(service: ServiceEvidence, now: float) -> EvidenceSlice:
    """Return the slice of the window that the present belongs to."""
    slices = service.slices
    if not slices or now >= slices[-1].started_at + SLICE_SECONDS:
        # The deque has a limit: the oldest slice goes.
        slices.append(EvidenceSlice(now))
    return slices[-1]


def sum_window(service: ServiceEvidence, now: float) -> dict[int, EvidenceSum]:
    """Return the evidence of the window by server; drop what is older."""
    while service.slices and (
        service.slices[0].started_at < now - WINDOW_SECONDS
    ):
        service.slices.popleft()
    sums: dict[int, EvidenceSum] = {}
    for part in service.slices:
        for token, one in part.sums_by_token.items():
            total = sums.setdefault(token, EvidenceSum())
            total.late += one.late
            total.short += one.short
            total.good += one.good
            total.late_by_reporter.update(one.late_by_reporter)
            total.short_by_reporter.update(one.short_by_reporter)
            total.first_bad_at = min(total.first_bad_at, one.first_bad_at)
            total.last_bad_at = max(total.last_bad_at, one.last_bad_at)
    return sums


def next_pause_ms(collector: EvidenceCollector, post: EvidencePost) -> int:
    """Return how long a balancer should wait before its next such post.

    It grows with the number of balancers that post, so that a fleet with late
    answers everywhere does not overload the collector.
    """
    service = collector.services_by_name.get(post.service, ServiceEvidence())
    reporters = max(
        (len(part.posts_by_reporter) for part in service.slices), default=0
    )
    pause = max(reporters / MAX_POSTS_PER_SECOND, MIN_PAUSE_SECONDS)
    return round(pause * MILLISECONDS)
