"""Learns from what follows openings which servers do not answer.

The first packet after an opening carries the token of the server that
answered it. A caller repeats an opening that nobody answered, and gives up
one that was refused. All of it only steers new flows of this balancer, so a
wrong guess breaks nothing.
"""

from mustardhold.tables.constants import (
    AVOIDED,
    MAX_RECENT_OPENINGS,
    OPENING_KEPT,
    UNANSWERED_AFTER,
    UNANSWERED_TO_AVOID,
)
from mustardhold.tables.directory import KnownServer
from mustardhold.tables.forwarding import (
    Answering,
    ForwardingTables,
    OpenedFlow,
    RecentOpening,
)


def note_opening(
    tables: ForwardingTables, flow: bytes, opening: RecentOpening
) -> None:
    """Remember whom an opening is passed on to."""
    forget_openings(tables, opening.sent_at)
    before = tables.openings_by_flow.pop(flow, None)
    if before is not None:
        opening.began_at = before.began_at
    tables.openings_by_flow[flow] = opening
    tables.pending.append((opening.sent_at, flow))


def forget_openings(tables: ForwardingTables, now: float) -> None:
    """Forget openings that are too old to be repeated."""
    openings = tables.openings_by_flow
    while openings:
        flow = next(iter(openings))
        is_old = now - openings[flow].sent_at > OPENING_KEPT.total_seconds()
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
    in_time = now - UNANSWERED_AFTER.total_seconds()
    while tables.pending and tables.pending[0][0] <= in_time:
        sent_at, late = tables.pending.popleft()
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
    if opening.is_blamed:
        return
    opening.is_blamed = True
    for token in opening.tokens:
        answering = tables.answering_by_token.setdefault(token, Answering())
        answering.unanswered += 1
        if answering.unanswered >= UNANSWERED_TO_AVOID:
            if now >= answering.avoid_until:
                tables.avoided.append(token)
            answering.avoid_until = now + AVOIDED.total_seconds()


def note_answer(
    tables: ForwardingTables, now: float, flow: bytes, known: KnownServer
) -> None:
    """Note that a caller took up the answer of a server."""
    opening = tables.openings_by_flow.pop(flow, None)
    if opening is None:
        return
    tables.answering_by_token.pop(known.token, None)
    tables.opened.append(
        OpenedFlow(known.report.service, opening.kind, now - opening.began_at)
    )


def is_avoided(
    tables: ForwardingTables, now: float, known: KnownServer
) -> bool:
    """Tell whether a server has lately not answered openings."""
    answering = tables.answering_by_token.get(known.token)
    return answering is not None and now < answering.avoid_until
