"""Suspects the servers that answer worse than the others of their service.

The collector of a service sums what the balancers saw within a window of some
seconds, since a single balancer sees a bad server too rarely. Suspicions end by
themselves, and last longer each time they recur.
"""

from collections.abc import Iterator, Sequence, Set
from itertools import accumulate

from mustardhold.systems.evidence_outliers import (
    Outlier,
    count_slots,
    find_outliers,
)
from mustardhold.systems.evidence_window import sum_load, sum_window
from mustardhold.systems.suspicions import is_suspect, suspect_until
from mustardhold.tables.directory import Directory, KnownServer, ServerState
from mustardhold.tables.server_evidence import (
    CollectedServers,
    Detection,
    EvidenceCollector,
    ServiceEvidence,
    SuspicionTerm,
)

# The rest carries the load without exceeding 1.5 times its own. Nor may more be
# suspect than is idle.
MAX_SUSPECT_SHARE = 0.3
FIRST_TERM_SECONDS = 2.0
LONGEST_TERM_SECONDS = 10.0
# A suspicion that begins this soon after the last one lasts twice as long.
RECURRENCE_SECONDS = 10.0
EVALUATION_INTERVAL_SECONDS = 0.1
INDEX_LIFETIME_SECONDS = 1.0


def evaluate_service(
    collector: EvidenceCollector,
    directory: Directory,
    now: float,
    name: str,
) -> list[Detection]:
    """Compare the servers of a service, and suspect those that stand out.

    If more than the permitted share stands out, the cause is the load and not
    the servers, and none becomes suspect.
    """
    service = collector.services_by_name.get(name)
    if (
        service is None
        or now < service.evaluated_at + EVALUATION_INTERVAL_SECONDS
    ):
        return []
    service.evaluated_at = now
    ready = list(find_ready(collector, directory, now, name))
    trusted = [
        server
        for server in ready
        if not is_suspect(directory.suspicions, now, server.token)
    ]
    lately = suspect_lately(collector, now)
    outliers = find_outliers(trusted, sum_window(service, now), lately)
    # Each request in progress occupies a slot.
    idle = count_slots(ready) - sum_load(service, now)
    return [
        suspect(collector, directory, now, service, outlier)
        for outlier in limit_outliers(outliers, ready, trusted, idle)
    ]


def limit_outliers(
    outliers: Sequence[Outlier],
    ready: Sequence[KnownServer],
    trusted: Sequence[KnownServer],
    idle: float,
) -> list[Outlier]:
    """Return the outliers that the service can do without, the worst first.

    Parameters
    ----------
    trusted
        Those of the ready servers that are not suspect already.
    idle
        Number of slots without a request.
    """
    total = count_slots(ready)
    allowed = total * MAX_SUSPECT_SHARE
    slots = list(
        accumulate(one.candidate.server.report.slots for one in outliers)
    )
    if slots and slots[-1] > allowed:
        return []
    left = min(allowed, idle) - (total - count_slots(trusted))
    return [
        outlier
        for outlier, used in zip(outliers, slots, strict=True)
        if used <= left
    ]


def find_ready(
    collector: EvidenceCollector, directory: Directory, now: float, name: str
) -> Iterator[KnownServer]:
    """Yield the servers of a service that get new flows."""
    refresh_servers(collector.servers, directory, now)
    for token in collector.servers.tokens_by_service.get(name, ()):
        found = directory.servers_by_token.get(token)
        if found is None or found.report.slots <= 0:
            continue
        if found.report.state is ServerState.READY:
            yield found


def refresh_servers(
    servers: CollectedServers, directory: Directory, now: float
) -> None:
    """List the servers of the directory by service, once a second at most.

    To look through tens of thousands of servers at each evaluation would cost
    too much.
    """
    if now < servers.made_at + INDEX_LIFETIME_SECONDS:
        return
    servers.made_at = now
    servers.tokens_by_service = {}
    for server in directory.servers_by_id.values():
        tokens = servers.tokens_by_service.setdefault(server.report.service, [])
        tokens.append(server.token)


def suspect_lately(collector: EvidenceCollector, now: float) -> Set[int]:
    """Return the servers that were suspect shortly before."""
    return {
        token
        for token, term in collector.terms_by_token.items()
        if now < term.until + RECURRENCE_SECONDS
    }


def suspect(
    collector: EvidenceCollector,
    directory: Directory,
    now: float,
    service: ServiceEvidence,
    outlier: Outlier,
) -> Detection:
    """Suspect a server, longer if it was suspect shortly before.

    Its evidence is dropped, so that only new evidence makes it suspect again.
    """
    evidence = outlier.candidate.evidence
    token = outlier.candidate.server.token
    is_renewal = outlier.candidate.is_known
    seconds = FIRST_TERM_SECONDS
    if is_renewal:
        previous = collector.terms_by_token[token]
        seconds = min(2 * previous.seconds, LONGEST_TERM_SECONDS)
    collector.terms_by_token[token] = SuspicionTerm(seconds, now, now + seconds)
    suspect_until(directory.suspicions, now, token, now + seconds)
    age = now - service.slices[0].started_at
    for part in service.slices:
        part.sums_by_token.pop(token, None)
    return Detection(
        token,
        evidence.late,
        evidence.short,
        evidence.good,
        len(evidence.late_by_reporter),
        outlier.expected,
        seconds,
        age,
        is_renewal,
    )


def pop_ended(
    collector: EvidenceCollector, now: float
) -> Iterator[tuple[int, SuspicionTerm]]:
    """Yield the suspicions that have ended, and forget old ones."""
    for token, term in tuple(collector.terms_by_token.items()):
        if now >= term.until and not term.is_ended:
            term.is_ended = True
            yield token, term
        if now >= term.until + RECURRENCE_SECONDS:
            collector.terms_by_token.pop(token)
