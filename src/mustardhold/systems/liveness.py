"""Decides which backend servers are silent without sharing every report.

Servers report so often that passing each report on would cost each process
the reports of the whole fleet. So control instances tell each other only
which servers reported to them, by token, and tell balancers only which
servers have ceased to report.
"""

from collections.abc import Iterable
from datetime import timedelta

from mustardhold.systems.directory import (
    forget_servers,
    merge_report,
    record_heard,
)
from mustardhold.tables.constants import (
    FEED_FRESH_PERIOD,
    SILENT_SERVER_RETENTION,
    UNRESPONSIVE_AFTER_INTERVALS,
)
from mustardhold.tables.directory import Directory, ServerReport, ServerState
from mustardhold.tables.feed import FeedSource


def receive_report(
    directory: Directory, now: float, report: ServerReport
) -> bool:
    """Merge a report that a server sent to this process itself.

    Returns
    -------
    bool
        Whether it was newer than the known ones.
    """
    if not merge_report(directory, now, report):
        return False
    token = directory.servers_by_id[report.server_id].token
    directory.heard_count += 1
    # Moves the server to the end of the mapping, after earlier reports.
    directory.heard_by_token.pop(token, None)
    directory.heard_by_token[token] = directory.heard_count
    return True


def tokens_heard_after(directory: Directory, count: int) -> tuple[int, ...]:
    """Return the servers that reported to this process since a count."""
    tokens: list[int] = []
    for token, heard in reversed(directory.heard_by_token.items()):
        if heard <= count:
            break
        tokens.append(token)
    return tuple(tokens)


def refresh_heard(
    directory: Directory, heard_at: float, tokens: Iterable[int]
) -> None:
    """Record that servers reported to another process, by their tokens.

    A token identifies an incarnation, so a report of an earlier one does not
    make its successor look alive.
    """
    for token in tokens:
        known = directory.servers_by_token.get(token)
        if known is not None:
            record_heard(directory, known, heard_at)


def find_silent(
    directory: Directory, now: float, report_interval: timedelta
) -> frozenset[int]:
    """Return the tokens of the servers that have missed several reports."""
    allowed = report_interval.total_seconds() * UNRESPONSIVE_AFTER_INTERVALS
    return frozenset(
        known.token
        for known in directory.servers_by_id.values()
        if now - known.heard_at > allowed
        and known.report.state is not ServerState.ENDED
    )


def agree_on_silent(
    sources: Iterable[FeedSource], now: float, previous: frozenset[int]
) -> frozenset[int]:
    """Return the servers that all up-to-date sources believe to be silent.

    One source may have been cut off from a server that reports to others.
    Without any up-to-date source, the previous result remains.
    """
    fresh_period = FEED_FRESH_PERIOD.total_seconds()
    views = [
        source.silent | source.missing
        for source in sources
        if now - source.confirmed_at < fresh_period
    ]
    return frozenset.intersection(*views) if views else previous


def update_silent(directory: Directory, silent: frozenset[int]) -> bool:
    """Replace the silent servers; return whether they changed."""
    if silent == directory.silent_tokens:
        return False
    directory.silent_tokens = silent
    directory.silent_revision += 1
    return True


def forget_silent_servers(directory: Directory, now: float) -> None:
    """Remove servers that a balancer has believed to be silent for long.

    A balancer receives no repeated reports, so all other servers count as
    heard now. It forgets earlier than control instances do: these no longer
    name a server as silent once they have forgotten it.
    """
    for known in directory.servers_by_id.values():
        is_ended = known.report.state is ServerState.ENDED
        if not is_ended and known.token not in directory.silent_tokens:
            known.heard_at = now
    forget_servers(directory, now, SILENT_SERVER_RETENTION)
