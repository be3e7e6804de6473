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
from mustardhold.systems.server_evidence import evaluate_service, pop_ended
from mustardhold.tables.directory import Directory
from mustardhold.tables.outcomes import Err
from mustardhold.tables.server_evidence import (
    Detection,
    EvidenceCollector,
    EvidencePost,
    EvidenceReply,
)

END_CHECK_SECONDS = 0.2
MILLISECONDS = 1000
MAX_LOGGED_REPORTERS = 256
MESSAGES_BY_OUTCOME = {
    'began': 'suspicion began',
    'renewed': 'suspicion renewed',
}


@dataclass(slots=True)
class CollectorState:
    """State of the evidence collector of a control instance.

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


async def handle_evidence(
    state: CollectorState, request: HandlerRequest
) -> Reply:
    """Add a balancer's evidence, and evaluate the servers of the service."""
    parsed = read_json(request.body, EvidencePost)
    if isinstance(parsed, Err):
        state.counters['evidence', 'malformed'] += 1
        log_ignored(state, 'malformed', str(parsed.error[0]))
        return refuse_all(parsed.error)
    post, now = parsed.value, state.clock.monotonic()
    verdict = add_evidence(state.collector, state.directory, now, post)
    state.counters['evidence', verdict] += 1
    if verdict is not EvidenceVerdict.ACCEPTED:
        log_ignored(state, verdict, post.reporter)
    detections = evaluate_service(
        state.collector, state.directory, now, post.service
    )
    for detection in detections:
        log_detection(state, detection)
    if detections:
        state.on_suspicion()
    # Another collector would not take it either, so it is no error.
    return json_reply(EvidenceReply(next_pause_ms(state.collector, post)))


def log_ignored(state: CollectorState, verdict: str, details: str) -> None:
    """Log once for each verdict and reporter that evidence was ignored."""
    key = (verdict, details)
    if key in state.logged or len(state.logged) >= MAX_LOGGED_REPORTERS:
        return
    state.logged.add(key)
    state.log.warning(
        'evidence ignored', extra={'verdict': verdict, 'details': details}
    )


def log_detection(state: CollectorState, detection: Detection) -> None:
    """Count and log a suspicion that has begun, with its inputs."""
    outcome = 'renewed' if detection.is_renewal else 'began'
    state.counters['suspicion', outcome] += 1
    state.log.warning(
        MESSAGES_BY_OUTCOME[outcome],
        extra={
            'server': server_id(state, detection.token),
            'late': detection.late,
            'short': detection.short,
            'good': detection.good,
            'reporters': detection.reporters,
            'expected_bad': round(detection.expected, 2),
            'evidence_age_ms': round(detection.age_seconds * MILLISECONDS),
            'lasts_ms': round(detection.seconds * MILLISECONDS),
        },
    )


def server_id(state: CollectorState, token: int) -> str:
    """Return the id of a server, or an empty one if it is unknown."""
    known = state.directory.servers_by_token.get(token)
    return '' if known is None else known.report.server_id


async def end_suspicions_periodically(state: CollectorState) -> None:
    """Log the suspicions of this collector that end, at a fixed interval."""
    while True:
        await trio.sleep(END_CHECK_SECONDS)
        for token, term in pop_ended(state.collector, state.clock.monotonic()):
            state.counters['suspicion', 'ended'] += 1
            state.log.info(
                'suspicion ended',
                extra={
                    'server': server_id(state, token),
                    'lasted_ms': round(term.seconds * MILLISECONDS),
                },
            )
