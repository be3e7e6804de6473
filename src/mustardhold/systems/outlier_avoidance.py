"""Detects servers that do not answer openings and avoids them for a time.

The first packet after an opening carries the token of the server that
answered it. A caller repeats an opening that no server answered, and sends
nothing more after a refusal. The result only affects where this balancer
sends new flows, so a wrong guess breaks no flow.
"""

from mustardhold.systems.answer_counts import count_unanswered_opening
from mustardhold.systems.server_load import count_opening
from mustardhold.systems.suspicions import is_suspect, suspect_tokens
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
from mustardhold.tables.server_load import OpeningKey


def record_opening(
    tables: ForwardingTables, flow: bytes, opening: RecentOpening
) -> None:
    """Record the servers that an opening is forwarded to.

    A repeated opening keeps the time at which it was first sent.
    """
    expire_openings(tables, opening.sent_at)
    previous = tables.openings_by_flow.pop(flow, None)
    if previous is not None:
        opening.first_sent_at = previous.first_sent_at
    tables.openings_by_flow[flow] = opening
    if tables.answers.load is not None:
        key = OpeningKey(flow, opening.attempt)
        count_opening(tables.answers.load, opening.sent_at, key, opening.tokens)
    tables.pending_openings.append((opening.sent_at, flow))


def expire_openings(tables: ForwardingTables, now: float) -> None:
    """Remove openings too old to be repeated, and the oldest if full."""
    openings = tables.openings_by_flow
    while openings:
        flow = next(iter(openings))
        is_old = (
            now - openings[flow].sent_at > OPENING_RETENTION.total_seconds()
        )
        if not is_old and len(openings) < MAX_RECENT_OPENINGS:
            return
        openings.pop(flow)


def count_unanswered(
    tables: ForwardingTables, now: float, flow: bytes, attempt: int
) -> None:
    """Count unanswered openings as failures of their servers.

    A server that refuses an opening ends it at the caller, even if the other
    server would have answered; then neither a repeat nor any other packet
    follows. If no server responds, the caller repeats it. So an opening is
    counted after a timeout or at its next repeat, whichever comes first.
    """
    latest_timed_out = now - OPENING_ANSWER_TIMEOUT.total_seconds()
    while (
        tables.pending_openings
        and tables.pending_openings[0][0] <= latest_timed_out
    ):
        sent_at, pending_flow = tables.pending_openings.popleft()
        opening = tables.openings_by_flow.get(pending_flow)
        if opening is not None and opening.sent_at == sent_at:
            count_failures(tables, sent_at, opening)
    previous = tables.openings_by_flow.get(flow)
    if previous is not None and previous.attempt < attempt:
        count_failures(tables, now, previous)


def count_failures(
    tables: ForwardingTables, now: float, opening: RecentOpening
) -> None:
    """Count an opening as a failure of its servers, at most once."""
    if opening.is_counted_as_failure:
        return
    opening.is_counted_as_failure = True
    for token in opening.tokens:
        responsiveness = tables.responsiveness_by_token.setdefault(
            token, ServerResponsiveness()
        )
        responsiveness.unanswered += 1
        server = tables.directory.servers_by_token.get(token)
        if server is not None:
            service = server.report.service
            count_unanswered_opening(tables.answers, service, token)
        if responsiveness.unanswered >= AVOID_AFTER_UNANSWERED:
            if now >= responsiveness.avoid_until:
                tables.newly_avoided.append(token)
            responsiveness.avoid_until = now + AVOIDANCE_PERIOD.total_seconds()


def record_answer(
    tables: ForwardingTables, now: float, flow: bytes, server: KnownServer
) -> None:
    """Record that a caller accepted a server's answer."""
    opening = tables.openings_by_flow.pop(flow, None)
    if opening is None:
        return
    tables.responsiveness_by_token.pop(server.token, None)
    tables.opened_flows.append(
        OpenedFlow(
            server.report.service, opening.kind, now - opening.first_sent_at
        )
    )


def is_avoided(
    tables: ForwardingTables, now: float, server: KnownServer
) -> bool:
    """Return whether a server is avoided.

    It is if it left openings of this balancer unanswered, or is suspect by
    what all balancers see.
    """
    responsiveness = tables.responsiveness_by_token.get(server.token)
    if responsiveness is not None and now < responsiveness.avoid_until:
        return True
    if not tables.avoids_suspects:
        return False
    return is_suspect(tables.directory.suspicions, now, server.token)


def avoided_tokens(tables: ForwardingTables, now: float) -> set[int]:
    """Return the tokens of the servers that are avoided."""
    avoided = {
        token
        for token, responsiveness in tables.responsiveness_by_token.items()
        if now < responsiveness.avoid_until
    }
    if tables.avoids_suspects:
        avoided.update(suspect_tokens(tables.directory.suspicions, now))
    return avoided
