"""Learns from copies of openings which servers do not answer.

A caller repeats an opening that nobody answered; the first packet after the
opening carries the token of the server that did answer. Both only steer new
flows of this balancer, so a wrong guess breaks nothing.
"""

from mustardhold.tables.constants import (
    AVOIDED,
    MAX_RECENT_OPENINGS,
    OPENING_KEPT,
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
    """Count a repeated opening against those who did not answer it."""
    before = tables.openings_by_flow.get(flow)
    if before is None or before.attempt >= attempt:
        return
    for token in before.tokens:
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
