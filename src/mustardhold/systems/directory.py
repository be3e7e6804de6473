"""Merging of backend servers' reports into one directory.

Reports of a server are ordered by incarnation, then by sequence. The newest
incarnation at an address ends all others there.
"""

from collections.abc import Iterable, Iterator

import msgspec
import xxhash

from mustardhold.tables.constants import (
    ENDED_SERVER_RETENTION,
    MAX_BACKEND_SERVERS,
    UNRESPONSIVE_SERVER_RETENTION,
)
from mustardhold.tables.directory import (
    LAST_SEQUENCE,
    Directory,
    DirectoryRow,
    KnownServer,
    ServerReport,
    ServerState,
)


def token_of(report: ServerReport) -> int:
    """Derive the token of an incarnation; 0 is reserved for no token."""
    key = f'{report.server_id}/{report.incarnation}'
    return xxhash.xxh32_intdigest(key.encode()) or 1


def report_order(report: ServerReport) -> tuple[int, int]:
    """Return the sort key of the reports of one server."""
    return report.incarnation, report.sequence


def merge_report(
    directory: Directory, now: float, report: ServerReport, age: float = 0
) -> bool:
    """Merge a report if it is newer than the known ones.

    Parameters
    ----------
    age
        Seconds since it arrived at any process.

    Returns
    -------
    bool
        Whether the directory changed.
    """
    known = directory.servers_by_id.get(report.server_id)
    if known is not None and report_order(report) <= report_order(known.report):
        return False
    if is_superseded(directory, report):
        return False
    if known is None and len(directory.servers_by_id) >= MAX_BACKEND_SERVERS:
        return False
    if report.state is not ServerState.ENDED:
        end_previous_holder(directory, now, report)
    store_report(directory, now - age, report)
    return True


def is_superseded(directory: Directory, report: ServerReport) -> bool:
    """Return whether a newer server has the report's address."""
    holder_id = directory.ids_by_address.get(report.address)
    if holder_id is None or holder_id == report.server_id:
        return False
    holder = directory.servers_by_id[holder_id].report
    is_ended = report.state is ServerState.ENDED
    return not is_ended and holder.incarnation > report.incarnation


def end_previous_holder(
    directory: Directory, now: float, report: ServerReport
) -> None:
    """Mark the earlier server at the report's address as ended."""
    holder_id = directory.ids_by_address.get(report.address)
    if holder_id is None or holder_id == report.server_id:
        return
    holder = directory.servers_by_id[holder_id].report
    if holder.state is not ServerState.ENDED:
        store_report(directory, now, final_report(holder))


def final_report(report: ServerReport) -> ServerReport:
    """Return the last report of an incarnation, in the ended state."""
    return msgspec.structs.replace(
        report, sequence=LAST_SEQUENCE, state=ServerState.ENDED
    )


def store_report(
    directory: Directory, received_at: float, report: ServerReport
) -> None:
    """Store a report in place of the earlier one."""
    previous = directory.servers_by_id.get(report.server_id)
    directory.revision += 1
    is_urgent = previous is None or is_urgent_change(previous.report, report)
    if is_urgent:
        directory.urgent_revision = directory.revision
    if previous is not None and is_restart(previous.report, report):
        # The earlier incarnation stays known by its token, marked as ended.
        previous.report = final_report(previous.report)
        previous = None
    if previous is None:
        previous = add_server(directory, received_at, report)
    previous.report = report
    previous.received_at = received_at
    previous.revision = directory.revision
    if is_urgent:
        previous.urgent_revision = directory.revision
    previous.slow_until = received_at + report.slow_for_ms / 1000
    if report.state is not ServerState.ENDED:
        directory.ids_by_address[report.address] = report.server_id


def is_urgent_change(previous: ServerReport, report: ServerReport) -> bool:
    """Return whether other processes have to receive a report immediately."""
    return is_restart(previous, report) or (
        previous.state,
        previous.address,
        previous.service,
    ) != (report.state, report.address, report.service)


def is_restart(previous: ServerReport, report: ServerReport) -> bool:
    """Return whether a report is of another incarnation."""
    return previous.incarnation != report.incarnation


def add_server(
    directory: Directory, received_at: float, report: ServerReport
) -> KnownServer:
    """Add an incarnation; of two with one token, the older one keeps it."""
    token = token_of(report)
    revision = directory.revision
    known = KnownServer(
        report, received_at, revision, revision, token, received_at
    )
    directory.servers_by_id[report.server_id] = known
    holder = directory.servers_by_token.get(token)
    if holder is None or token_priority(known) < token_priority(holder):
        directory.servers_by_token[token] = known
    return known


def token_priority(known: KnownServer) -> tuple[int, str]:
    """Return the sort key that decides which incarnation keeps a token.

    All processes compute the same key; the lowest one keeps the token.
    """
    return known.report.incarnation, known.report.server_id


def owns_token(directory: Directory, known: KnownServer) -> bool:
    """Return whether a server's token identifies this server."""
    return directory.servers_by_token.get(known.token) is known


def rows_after(
    directory: Directory, now: float, revision: int
) -> list[DirectoryRow]:
    """Return the rows that changed after a revision, with their ages."""
    return [
        DirectoryRow(
            known.report, max(round((now - known.received_at) * 1000), 0)
        )
        for known in directory.servers_by_id.values()
        if known.revision > revision
    ]


def merge_rows(
    directory: Directory, now: float, rows: Iterable[DirectoryRow]
) -> Iterator[ServerReport]:
    """Merge rows of another process, and yield the reports that were new."""
    for row in rows:
        if merge_report(directory, now, row.report, row.age_ms / 1000):
            yield row.report


def newest_live_incarnation(
    directory: Directory, known: KnownServer
) -> KnownServer | None:
    """Return the incarnation that may hold the flows of an incarnation.

    A restarted server may hold flows that were opened with the token of its
    earlier incarnation, by a balancer that did not know of the restart yet.
    The server itself ends the other flows.

    Returns
    -------
    KnownServer or None
        The newest incarnation with this id; none if it has certainly ended.
    """
    newest = directory.servers_by_id.get(known.report.server_id)
    if newest is None or newest.report.state is ServerState.ENDED:
        return None
    return newest


def forget_servers(directory: Directory, now: float) -> None:
    """Remove servers that ended or became unresponsive long ago."""
    for known in tuple(directory.servers_by_id.values()):
        is_ended = known.report.state is ServerState.ENDED
        retention = (
            ENDED_SERVER_RETENTION
            if is_ended
            else UNRESPONSIVE_SERVER_RETENTION
        )
        if now - known.received_at > retention.total_seconds():
            drop_server(directory, known)
    for token, known in tuple(directory.servers_by_token.items()):
        is_current = (
            directory.servers_by_id.get(known.report.server_id) is known
        )
        age = now - known.received_at
        if not is_current and age > ENDED_SERVER_RETENTION.total_seconds():
            directory.servers_by_token.pop(token)


def drop_server(directory: Directory, known: KnownServer) -> None:
    """Remove a server from the directory."""
    report = known.report
    directory.servers_by_id.pop(report.server_id)
    if owns_token(directory, known):
        directory.servers_by_token.pop(known.token)
    if directory.ids_by_address.get(report.address) == report.server_id:
        directory.ids_by_address.pop(report.address)
