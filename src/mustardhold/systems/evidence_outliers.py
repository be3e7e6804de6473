"""Finds the servers whose answers are bad more often than chance explains.

Late and short answers are judged apart, each in relation to a server's share of
the work. A balancer that lies must not make any server stand out by itself.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence, Set
from itertools import accumulate
from operator import attrgetter
from typing import Final, NamedTuple

from mustardhold.tables.directory import KnownServer
from mustardhold.tables.server_evidence import EvidenceSum

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


def count_slots(servers: Iterable[KnownServer]) -> int:
    """Return the number of slots of servers."""
    return sum(server.report.slots for server in servers)


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
    would otherwise hide each other. Their work is their weight, as answers that
    one balancer makes up would lower their rate.
    """
    bad = list(accumulate((one.bad for one in candidates), initial=0))
    slots = list(
        accumulate((one.server.report.slots for one in candidates), initial=0)
    )
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
        other_rate = other_bad / (1 - slots[count] / slots[-1])
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
