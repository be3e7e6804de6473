"""Learns from what follows openings which servers do not answer.

The first packet after an opening carries the token of the server that
answered it. A caller repeats an opening that nobody answered, and gives up
one that was refused. All of it only steers new flows of this balancer, so a
wrong guess breaks nothing.
"""

from mustardhold.tables.constants import (
    AVOID_AFTER_UNANSWERED,
    AVOIDANCE_PERIOD,
    MAX_RECENT_OPENINGS,
    OPENING_ANSWER_TIMEOUT,
    OPENING_RETENTION,
)
from mustardhold.tables.directory import KnownServer
from mustardhold.tables.forwarding import (
    ForwardingTables,
    OpenedFlow,
    RecentOpening,
    ServerResponsiveness,
)


def note_opening(
    tables: ForwardingTables, flow: bytes, opening: RecentOpening
) -> None:
    """Remember whom an opening is passed on to."""
    forget_openings(tables, opening.sent_at)
    before = tables.openings_by_flow.pop(flow, None)
    if before is not None:
        opening.first_sent_at = before.first_sent_at
    tables.openings_by_flow[flow] = opening
    tables.pending_openings.append((opening.sent_at, flow))


def forget_openings(tables: ForwardingTables, now: float) -> None:
    """Forget openings that are too old to be repeated."""
    openings = tables.openings_by_flow
    while openings:
        flow = next(iter(openings))
        is_old = (
            now - openings[flow].sent_at > OPENING_RETENTION.total_seconds()
        )
        if not is_old and len(openings) < MAX_RECENT_OPENINGS:
            return
        openings.pop(flow)


def blame_unanswered(
    tables: ForwardingTables, now: float, flow: bytes, attempt: int
) -> None:
    """Hold openings that nobody answered against their servers.

    A server that refuses an opening ends it for its caller, also where the
    other one would have answered; no copy and no other packet follows then.
    A copy comes where all are silent.
    """
    in_time = now - OPENING_ANSWER_TIMEOUT.total_seconds()
    while tables.pending_openings and tables.pending_openings[0][0] <= in_time:
        sent_at, late = tables.pending_openings.popleft()
        opening = tables.openings_by_flow.get(late)
        if opening is not None and opening.sent_at == sent_at:
            blame_servers(tables, sent_at, opening)
    before = tables.openings_by_flow.get(flow)
    if before is not None and before.attempt < attempt:
        blame_servers(tables, now, before)


def blame_servers(
    tables: ForwardingTables, now: float, opening: RecentOpening
) -> None:
    """Count an opening against those who did not answer it, once only."""
    if opening.is_counted_as_failure:
        return
    opening.is_counted_as_failure = True
    for token in opening.tokens:
        answering = tables.responsiveness_by_token.setdefault(
            token, ServerResponsiveness()
        )
        answering.unanswered += 1
        if answering.unanswered >= AVOID_AFTER_UNANSWERED:
            if now >= answering.avoid_until:
                tables.newly_avoided.append(token)
            answering.avoid_until = now + AVOIDANCE_PERIOD.total_seconds()


def note_answer(
    tables: ForwardingTables, now: float, flow: bytes, known: KnownServer
) -> None:
    """Note that a caller took up the answer of a server."""
    opening = tables.openings_by_flow.pop(flow, None)
    if opening is None:
        return
    tables.responsiveness_by_token.pop(known.token, None)
    tables.opened_flows.append(
        OpenedFlow(
            known.report.service, opening.kind, now - opening.first_sent_at
        )
    )


def is_avoided(
    tables: ForwardingTables, now: float, known: KnownServer
) -> bool:
    """Tell whether a server has lately not answered openings."""
    answering = tables.responsiveness_by_token.get(known.token)
    return answering is not None and now < answering.avoid_until
