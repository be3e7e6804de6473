"""Finds the servers that answer worse than the others of their service.

The collector of a service sums what the balancers saw within a window of some
seconds. A single balancer sees a bad server too rarely, and one that lies or
is cut off from servers must not make any suspect by itself.
"""

from collections.abc import Iterable, Iterator, Sequence, Set
from itertools import accumulate
from typing import NamedTuple

from mustardhold.systems.evidence_window import sum_load, sum_window
from mustardhold.systems.suspicions import is_suspect, suspect_until
from mustardhold.tables.directory import Directory, KnownServer, ServerState
from mustardhold.tables.server_evidence import (
    EvidenceCollector,
    EvidenceSum,
    Judgement,
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
# If so many answers of the other servers are bad too, the service has no
# capacity to spare: fewer servers would make more answers late.
MAX_OTHER_BAD_SHARE = 0.05
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
JUDGING_INTERVAL_SECONDS = 0.1
INDEX_LIFETIME_SECONDS = 1.0


class Candidate(NamedTuple):
    """A server with its evidence.

    Attributes
    ----------
    bad
        Late and short answers. The balancer that saw most of them counts for
        at most as many as all others together.
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


class Split(NamedTuple):
    """The worst servers of a service, and how often the others are bad."""

    worst: Sequence[Candidate]
    other_rate: float


def judge_service(
    collector: EvidenceCollector,
    directory: Directory,
    now: float,
    name: str,
) -> list[Judgement]:
    """Compare the servers of a service, and suspect those that stand out.

    If more than the permitted share stands out, the cause is the load and not
    the servers, and none becomes suspect.
    """
    service = collector.services_by_name.get(name)
    if service is None or now < service.judged_at + JUDGING_INTERVAL_SECONDS:
        return []
    service.judged_at = now
    ready = list(find_ready(collector, directory, now, name))
    trusted = [
        server
        for server in ready
        if not is_suspect(directory.suspicions, now, server.token)
    ]
    lately = suspect_lately(collector, now)
    split = find_split(make_candidates(service, now, trusted, lately))
    total = count_slots(ready)
    allowed = total * MAX_SUSPECT_SHARE
    if count_slots(one.server for one in split.worst) > allowed:
        return []
    # Each request in progress occupies a slot.
    allowed = min(allowed, total - sum_load(service, now))
    allowed -= total - count_slots(trusted)
    slots = accumulate(one.server.report.slots for one in split.worst)
    return [
        suspect(collector, directory, now, (service, candidate, split))
        for candidate, used in zip(split.worst, slots, strict=True)
        if used <= allowed
    ]


def find_ready(
    collector: EvidenceCollector, directory: Directory, now: float, name: str
) -> Iterator[KnownServer]:
    """Yield the servers of a service that get new flows.

    To look through tens of thousands of servers at each judgement would cost
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


def make_candidates(
    service: ServiceEvidence,
    now: float,
    servers: Sequence[KnownServer],
    known: Set[int],
) -> list[Candidate]:
    """Return servers with their evidence, the worst first."""
    sums = sum_window(service, now)
    nothing = EvidenceSum()
    evidence = [sums.get(server.token, nothing) for server in servers]
    weight = count_slots(servers)
    answers = sum(map(count_answers, evidence))
    candidates = [
        Candidate(
            server,
            one,
            count_bad(one),
            max(
                server.report.slots / weight,
                count_answers(one) / max(answers, 1),
            ),
            server.token in known,
        )
        for server, one in zip(servers, evidence, strict=True)
    ]
    candidates.sort(key=lambda one: one.rate, reverse=True)
    return candidates


def count_answers(evidence: EvidenceSum) -> int:
    """Return the number of outcomes seen of a server."""
    return evidence.late + evidence.short + evidence.good


def count_bad(evidence: EvidenceSum) -> int:
    """Return the bad answers of a server, with a limit for each reporter."""
    reporters = evidence.bad_by_reporter
    if len(reporters) < MIN_REPORTERS:
        return 0
    total = reporters.total()
    others = total - max(reporters.values())
    return min(total, 2 * others)


def find_split(candidates: Sequence[Candidate]) -> Split:
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
        if other_bad > (seen[-1] - seen[count]) * MAX_OTHER_BAD_SHARE:
            continue
        other_rate = other_bad / (load[-1] - load[count])
        if all(stands_out(one, other_rate) for one in candidates[:count]):
            return Split(candidates[:count], other_rate)
    return Split((), 0)


def stands_out(candidate: Candidate, other_rate: float) -> bool:
    """Return whether a server is bad more often than chance explains."""
    expected = other_rate * candidate.load
    is_sudden = not candidate.is_known and is_sudden_lateness(
        candidate.evidence
    )
    return not is_sudden and candidate.bad >= MIN_BAD + MIN_RATIO * expected


def is_sudden_lateness(evidence: EvidenceSum) -> bool:
    """Return whether a server may just be the first to feel a growing load.

    Answers that are too short are not explained by load.
    """
    lasted = evidence.last_bad_at - evidence.first_bad_at
    return evidence.late >= evidence.short and lasted < MIN_BAD_SECONDS


def suspect(
    collector: EvidenceCollector,
    directory: Directory,
    now: float,
    grounds: tuple[ServiceEvidence, Candidate, Split],
) -> Judgement:
    """Suspect a server, longer if it was suspect shortly before.

    Its evidence is dropped, so that only news makes it suspect again.
    """
    service, candidate, split = grounds
    token, evidence = candidate.server.token, candidate.evidence
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
    return Judgement(
        token,
        evidence.late,
        evidence.short,
        evidence.good,
        len(evidence.bad_by_reporter),
        split.other_rate * candidate.load,
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
