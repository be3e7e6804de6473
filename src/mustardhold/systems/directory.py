"""Merges what backend servers report into one directory.

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
    """Derive the token of an incarnation; 0 stands for none."""
    key = f'{report.server_id}/{report.incarnation}'
    return xxhash.xxh32_intdigest(key.encode()) or 1


def order_of(report: ServerReport) -> tuple[int, int]:
    """Return what orders the reports of one server."""
    return report.incarnation, report.sequence


def merge_report(
    directory: Directory, now: float, report: ServerReport, age: float = 0
) -> bool:
    """Merge a report.

    Parameters
    ----------
    age
        Seconds since it arrived at any process.

    Returns
    -------
    bool
        Whether it said anything new.
    """
    known = directory.servers_by_id.get(report.server_id)
    if known is not None and order_of(report) <= order_of(known.report):
        return False
    if is_superseded(directory, report):
        return False
    if known is None and len(directory.servers_by_id) >= MAX_BACKEND_SERVERS:
        return False
    if report.state is not ServerState.ENDED:
        end_holder(directory, now, report)
    store_report(directory, now - age, report)
    return True


def is_superseded(directory: Directory, report: ServerReport) -> bool:
    """Tell whether a newer server has the report's address."""
    holder_id = directory.ids_by_address.get(report.address)
    if holder_id is None or holder_id == report.server_id:
        return False
    holder = directory.servers_by_id[holder_id].report
    is_ended = report.state is ServerState.ENDED
    return not is_ended and holder.incarnation > report.incarnation


def end_holder(directory: Directory, now: float, report: ServerReport) -> None:
    """End the earlier server at the report's address."""
    holder_id = directory.ids_by_address.get(report.address)
    if holder_id is None or holder_id == report.server_id:
        return
    holder = directory.servers_by_id[holder_id].report
    if holder.state is not ServerState.ENDED:
        store_report(directory, now, final_report(holder))


def final_report(report: ServerReport) -> ServerReport:
    """Return the last report of an incarnation."""
    return msgspec.structs.replace(
        report, sequence=LAST_SEQUENCE, state=ServerState.ENDED
    )


def store_report(
    directory: Directory, received_at: float, report: ServerReport
) -> None:
    """Put a report in place of the earlier one."""
    before = directory.servers_by_id.get(report.server_id)
    directory.revision += 1
    is_urgent = before is None or is_change(before.report, report)
    if is_urgent:
        directory.urgent_revision = directory.revision
    if before is not None and is_restart(before.report, report):
        # The earlier incarnation stays known by its token, as an ended one.
        before.report = final_report(before.report)
        before = None
    if before is None:
        before = add_server(directory, received_at, report)
    before.report = report
    before.received_at = received_at
    before.revision = directory.revision
    if is_urgent:
        before.urgent_revision = directory.revision
    before.slow_until = received_at + report.slow_for_ms / 1000
    if report.state is not ServerState.ENDED:
        directory.ids_by_address[report.address] = report.server_id


def is_change(before: ServerReport, report: ServerReport) -> bool:
    """Tell whether others have to learn of a report at once."""
    return is_restart(before, report) or (
        before.state,
        before.address,
        before.service,
    ) != (report.state, report.address, report.service)


def is_restart(before: ServerReport, report: ServerReport) -> bool:
    """Tell whether a report is of another incarnation."""
    return before.incarnation != report.incarnation


def add_server(
    directory: Directory, received_at: float, report: ServerReport
) -> KnownServer:
    """Add an incarnation; an older one keeps a token that both derive."""
    token = token_of(report)
    revision = directory.revision
    known = KnownServer(
        report, received_at, revision, revision, token, received_at
    )
    directory.servers_by_id[report.server_id] = known
    holder = directory.servers_by_token.get(token)
    if holder is None or rank(known) < rank(holder):
        directory.servers_by_token[token] = known
    return known


def rank(known: KnownServer) -> tuple[int, str]:
    """Order incarnations that share a token, alike in every process."""
    return known.report.incarnation, known.report.server_id


def owns_token(directory: Directory, known: KnownServer) -> bool:
    """Tell whether a server's token names it and no other."""
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
    """Merge rows of another process; yield the reports that were new."""
    for row in rows:
        if merge_report(directory, now, row.report, row.age_ms / 1000):
            yield row.report


def newest_live_incarnation(
    directory: Directory, known: KnownServer
) -> KnownServer | None:
    """Return who may hold the flows of an incarnation.

    A server that started again may hold flows that were opened with the
    token of its earlier incarnation, by a balancer that had not heard of the
    restart; it ends the others itself.

    Returns
    -------
    KnownServer or None
        The newest incarnation of its id; none once that has certainly ended.
    """
    newest = directory.servers_by_id.get(known.report.server_id)
    if newest is None or newest.report.state is ServerState.ENDED:
        return None
    return newest


def forget_servers(directory: Directory, now: float) -> None:
    """Forget servers that ended or fell silent long ago."""
    for known in tuple(directory.servers_by_id.values()):
        is_over = known.report.state is ServerState.ENDED
        kept = (
            ENDED_SERVER_RETENTION if is_over else UNRESPONSIVE_SERVER_RETENTION
        )
        if now - known.received_at > kept.total_seconds():
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
