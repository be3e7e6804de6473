"""Collects evidence at a control instance and logs what follows from it."""

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from mustardhold.adapters.clock import Clock
from mustardhold.adapters.http_app import (
    HandlerRequest,
    Reply,
    json_reply,
    refuse_all,
)
from mustardhold.adapters.json_body import read_json
from mustardhold.systems.evidence_window import (
    EvidenceVerdict,
    add_evidence,
    next_pause_ms,
)
from mustardhold.systems.server_evidence import judge_service, pop_ended
from mustardhold.tables.directory import Directory
from mustardhold.tables.outcomes import Err
from mustardhold.tables.server_evidence import (
    EvidenceCollector,
    EvidencePost,
    EvidenceReply,
    Judgement,
)

END_CHECK_SECONDS = 0.2
MILLISECONDS = 1000
MAX_LOGGED_REPORTERS = 256
MESSAGES_BY_OUTCOME = {
    'began': 'suspicion began',
    'renewed': 'suspicion renewed',
}


@dataclass(slots=True)
class EvidenceDesk:
    """A control instance's collector, and what it works with.

    Attributes
    ----------
    on_suspicion
        Called when a suspicion begins.
    logged
        Verdicts and reporters that were logged already.
    """

    directory: Directory
    clock: Clock
    log: logging.Logger
    counters: Counter[tuple[str, str]]
    on_suspicion: Callable[[], None]
    collector: EvidenceCollector = field(default_factory=EvidenceCollector)
    logged: set[tuple[str, str]] = field(default_factory=set)


async def handle_evidence(desk: EvidenceDesk, request: HandlerRequest) -> Reply:
    """Add a balancer's evidence, and judge the servers of the service."""
    parsed = read_json(request.body, EvidencePost)
    if isinstance(parsed, Err):
        desk.counters['evidence', 'malformed'] += 1
        log_ignored(desk, 'malformed', str(parsed.error[0]))
        return refuse_all(parsed.error)
    post, now = parsed.value, desk.clock.monotonic()
    verdict = add_evidence(desk.collector, desk.directory, now, post)
    desk.counters['evidence', verdict] += 1
    if verdict is not EvidenceVerdict.ACCEPTED:
        log_ignored(desk, verdict, post.reporter)
    judged = judge_service(desk.collector, desk.directory, now, post.service)
    for judgement in judged:
        log_judgement(desk, judgement)
    if judged:
        desk.on_suspicion()
    # Another collector would not take it either, so it is no error.
    return json_reply(EvidenceReply(next_pause_ms(desk.collector, post)))


def log_ignored(desk: EvidenceDesk, verdict: str, details: str) -> None:
    """Log once for each verdict and reporter that evidence was ignored."""
    key = (verdict, details)
    if key in desk.logged or len(desk.logged) >= MAX_LOGGED_REPORTERS:
        return
    desk.logged.add(key)
    desk.log.warning(
        'evidence ignored', extra={'verdict': verdict, 'details': details}
    )


def log_judgement(desk: EvidenceDesk, judgement: Judgement) -> None:
    """Count and log a suspicion that has begun, with its inputs."""
    outcome = 'renewed' if judgement.is_renewal else 'began'
    desk.counters['suspicion', outcome] += 1
    desk.log.warning(
        MESSAGES_BY_OUTCOME[outcome],
        extra={
            'server': server_id(desk, judgement.token),
            'late': judgement.late,
            'short': judgement.short,
            'good': judgement.good,
            'reporters': judgement.reporters,
            'expected_bad': round(judgement.expected, 2),
            'evidence_age_ms': round(judgement.age_seconds * MILLISECONDS),
            'lasts_ms': round(judgement.seconds * MILLISECONDS),
        },
    )


def server_id(desk: EvidenceDesk, token: int) -> str:
    """Return the id of a server, or an empty one if it is unknown."""
    known = desk.directory.servers_by_token.get(token)
    return '' if known is None else known.report.server_id


async def end_suspicions_periodically(desk: EvidenceDesk) -> None:
    """Log the suspicions of this collector that end, at a fixed interval."""
    while True:
        await trio.sleep(END_CHECK_SECONDS)
        for token, term in pop_ended(desk.collector, desk.clock.monotonic()):
            desk.counters['suspicion', 'ended'] += 1
            desk.log.info(
                'suspicion ended',
                extra={
                    'server': server_id(desk, token),
                    'lasted_ms': round(term.seconds * MILLISECONDS),
                },
            )
