"""Finds the servers that answer worse than the others of their service.

The collector of a service sums what the balancers saw within a window of some
seconds. A single balancer sees a bad server too rarely, and one that lies or
is cut off from servers must not make any suspect by itself.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence, Set
from itertools import accumulate
from operator import attrgetter
from typing import Final, NamedTuple

from mustardhold.systems.evidence_window import sum_load, sum_window
from mustardhold.systems.suspicions import is_suspect, suspect_until
from mustardhold.tables.directory import Directory, KnownServer, ServerState
from mustardhold.tables.server_evidence import (
    Detection,
    EvidenceCollector,
    EvidenceSum,
    ServiceEvidence,
    SuspicionTerm,
)

# A service of 60 servers with 1 % of late answers would otherwise have a server
# that stands out by chance every few seconds.
MIN_BAD = 4
MIN_REPORTERS = 2
# When the load grows beyond the capacity, the answers of some servers are late
# a little before those of the others.
MIN_BAD_SECONDS = 0.5
# Slow servers are 4 to 8 times slower, failing ones fail up to 40 % of
# requests; the others fail far less than a quarter of that.
MIN_RATIO = 4.0
# The rest carries the load without exceeding 1.5 times its own. Nor may more be
# suspect than is idle.
MAX_SUSPECT_SHARE = 0.3
FIRST_TERM_SECONDS = 2.0
LONGEST_TERM_SECONDS = 10.0
# A suspicion that begins this soon after the last one lasts twice as long.
RECURRENCE_SECONDS = 10.0
EVALUATION_INTERVAL_SECONDS = 0.1
INDEX_LIFETIME_SECONDS = 1.0


class BadKind(NamedTuple):
    """A way in which answers are bad.

    Late and short answers are evaluated separately: while the flows of many
    servers look late, servers that fail at once still stand out.

    Attributes
    ----------
    by_reporter
        Returns the bad answers of a server by balancer.
    max_other_share
        Up to this share of bad answers of the other servers, the cause is
        sought in the servers.
    may_be_load
        Whether a growing load makes answers bad in this way.
    """

    by_reporter: Callable[[EvidenceSum], Counter[str]]
    max_other_share: float
    may_be_load: bool


# When the fabric moves most flows to other balancers, their requests look late
# at the earlier ones, whichever servers they are at.
LATE: Final = BadKind(
    attrgetter('late_by_reporter'), max_other_share=0.2, may_be_load=True
)
SHORT: Final = BadKind(
    attrgetter('short_by_reporter'), max_other_share=0.05, may_be_load=False
)


class Candidate(NamedTuple):
    """A server with its evidence of one kind.

    Attributes
    ----------
    bad
        Bad answers of the kind. The balancer that saw most of them counts for
        as many as the next one, so that one that lies adds little.
    load
        Share of the service's work, by weight or by answers seen, whichever is
        larger.
    is_known
        Whether the server was suspect lately.
    """

    server: KnownServer
    evidence: EvidenceSum
    bad: int
    load: float
    is_known: bool

    @property
    def rate(self) -> float:
        """Bad answers in relation to the work."""
        return self.bad / self.load


class Outlier(NamedTuple):
    """A server that stands out, and the bad answers expected of it."""

    candidate: Candidate
    expected: float


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
    """Yield the servers of a service that get new flows.

    To look through tens of thousands of servers at each evaluation would cost
    too much, so new servers are taken in once a second.
    """
    known = collector.servers
    if now >= known.made_at + INDEX_LIFETIME_SECONDS:
        known.made_at = now
        known.tokens_by_service = {}
        for server in directory.servers_by_id.values():
            tokens = known.tokens_by_service.setdefault(
                server.report.service, []
            )
            tokens.append(server.token)
    for token in known.tokens_by_service.get(name, ()):
        found = directory.servers_by_token.get(token)
        if found is None or found.report.slots <= 0:
            continue
        if found.report.state is ServerState.READY:
            yield found


def count_slots(servers: Iterable[KnownServer]) -> int:
    """Return the number of slots of servers."""
    return sum(server.report.slots for server in servers)


def suspect_lately(collector: EvidenceCollector, now: float) -> Set[int]:
    """Return the servers that were suspect shortly before."""
    return {
        token
        for token, term in collector.terms_by_token.items()
        if now < term.until + RECURRENCE_SECONDS
    }


def find_outliers(
    servers: Sequence[KnownServer],
    sums: Mapping[int, EvidenceSum],
    lately: Set[int],
) -> list[Outlier]:
    """Return the servers that stand out in either way, the worst first."""
    outliers_by_token: dict[int, Outlier] = {}
    for kind in (SHORT, LATE):
        candidates = make_candidates(servers, sums, lately, kind)
        for one in find_outliers_of_kind(candidates, kind):
            outliers_by_token.setdefault(one.candidate.server.token, one)
    return sorted(
        outliers_by_token.values(),
        key=lambda one: one.candidate.rate,
        reverse=True,
    )


def make_candidates(
    servers: Sequence[KnownServer],
    sums: Mapping[int, EvidenceSum],
    lately: Set[int],
    kind: BadKind,
) -> list[Candidate]:
    """Return servers with their evidence of a kind, the worst first."""
    nothing = EvidenceSum()
    evidence = [sums.get(server.token, nothing) for server in servers]
    weight = count_slots(servers)
    answers = sum(map(count_answers, evidence))
    candidates = [
        Candidate(
            server,
            one,
            count_bad(kind.by_reporter(one)),
            max(
                server.report.slots / weight,
                count_answers(one) / max(answers, 1),
            ),
            server.token in lately,
        )
        for server, one in zip(servers, evidence, strict=True)
    ]
    candidates.sort(key=lambda one: one.rate, reverse=True)
    return candidates


def count_answers(evidence: EvidenceSum) -> int:
    """Return the number of outcomes seen of a server."""
    return evidence.late + evidence.short + evidence.good


def count_bad(answers_by_reporter: Counter[str]) -> int:
    """Return the bad answers of a server, with a limit for each reporter."""
    counts = sorted(count for count in answers_by_reporter.values() if count)
    if len(counts) < MIN_REPORTERS:
        return 0
    *others, _ = counts
    return sum(others) + others[-1]


def find_outliers_of_kind(
    candidates: Sequence[Candidate], kind: BadKind
) -> list[Outlier]:
    """Find the most servers that all stand out from all others.

    The reference is those that do not stand out, since several bad servers
    would otherwise hide each other.
    """
    bad = list(accumulate((one.bad for one in candidates), initial=0))
    load = list(accumulate((one.load for one in candidates), initial=0))
    seen = list(
        accumulate(
            (count_answers(one.evidence) for one in candidates), initial=0
        )
    )
    worst = sum(one.bad >= MIN_BAD for one in candidates)
    for count in range(min(worst, len(candidates) - 1), 0, -1):
        other_bad = bad[-1] - bad[count]
        if other_bad > (seen[-1] - seen[count]) * kind.max_other_share:
            continue
        other_rate = other_bad / (load[-1] - load[count])
        outliers = [
            Outlier(one, other_rate * one.load) for one in candidates[:count]
        ]
        if all(stands_out(one, kind) for one in outliers):
            return outliers
    return []


def stands_out(outlier: Outlier, kind: BadKind) -> bool:
    """Return whether a server is bad more often than chance explains.

    A server that was not suspect lately may just be the first to feel a growing
    load.
    """
    candidate = outlier.candidate
    if kind.may_be_load and not candidate.is_known:
        evidence = candidate.evidence
        lasted = evidence.last_bad_at - evidence.first_bad_at
        if lasted < MIN_BAD_SECONDS:
            return False
    return candidate.bad >= MIN_BAD + MIN_RATIO * outlier.expected


def suspect(
    collector: EvidenceCollector,
    directory: Directory,
    now: float,
    service: ServiceEvidence,
    outlier: Outlier,
) -> Detection:
    """Suspect a server, longer if it was suspect shortly before.

    Its evidence is dropped, so that only news makes it suspect again.
    """
    evidence = outlier.candidate.evidence
    token = outlier.candidate.server.token
    previous = collector.terms_by_token.get(token)
    is_renewal = (
        previous is not None and now < previous.until + RECURRENCE_SECONDS
    )
    seconds = FIRST_TERM_SECONDS
    if previous is not None and is_renewal:
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
