"""Merging of backend servers' reports into one directory.

Reports of a server are ordered by incarnation, then by sequence. The newest
incarnation at an address ends all others there.

Other processes receive what changes, not the reports that only repeat it; what
they need of these is in ``systems/liveness.py``.
"""

from collections.abc import Collection, Iterable, Iterator
from datetime import timedelta

import msgspec
import xxhash

from mustardhold.systems.shared_changes import (
    is_new_slow_start,
    is_shared_change,
)
from mustardhold.tables.constants import (
    ENDED_SERVER_RETENTION,
    MAX_BACKEND_SERVERS,
    SILENT_SERVER_RETENTION,
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
    directory: Directory,
    now: float,
    report: ServerReport,
    age: float = 0,
    silence: float = 0,
) -> bool:
    """Merge a report if it is newer than the known ones.

    Parameters
    ----------
    age
        Seconds since it arrived at any process.
    silence
        Seconds since any process received a report of the server.

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
    store_report(directory, now - age, now - silence, report)
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
        store_report(directory, now, now, final_report(holder))


def final_report(report: ServerReport) -> ServerReport:
    """Return the last report of an incarnation, in the ended state."""
    return msgspec.structs.replace(
        report, sequence=LAST_SEQUENCE, state=ServerState.ENDED
    )


def store_report(
    directory: Directory,
    received_at: float,
    heard_at: float,
    report: ServerReport,
) -> None:
    """Store a report in place of the earlier one."""
    known = directory.servers_by_id.get(report.server_id)
    if known is not None and is_restart(known.report, report):
        # The earlier incarnation stays known by its token, marked as ended.
        known.report = final_report(known.report)
        known = None
    slow_until = received_at + report.slow_for_ms / 1000
    is_shared = (
        known is None
        or is_shared_change(known.report, report)
        or is_new_slow_start(known, slow_until, report)
    )
    if known is None:
        known = make_server(received_at, report)
        claim_token(directory, known)
    known.report = report
    known.received_at = received_at
    known.slow_until = slow_until
    if is_shared:
        record_change(directory, known)
    record_heard(directory, known, heard_at)
    if report.state is not ServerState.ENDED:
        directory.ids_by_address[report.address] = report.server_id


def record_heard(
    directory: Directory, known: KnownServer, heard_at: float
) -> None:
    """Record that a server existed at a time.

    If that was not certain before, other processes have to know.
    """
    known.heard_at = max(known.heard_at, heard_at)
    if known.is_unconfirmed:
        known.is_unconfirmed = False
        record_change(directory, known)


def record_change(directory: Directory, known: KnownServer) -> None:
    """Move a server behind all earlier changes, with a new revision."""
    server_id = known.report.server_id
    directory.revision += 1
    known.revision = directory.revision
    known.shared_slow_until = known.slow_until
    directory.servers_by_id.pop(server_id, None)
    directory.servers_by_id[server_id] = known


def is_restart(previous: ServerReport, report: ServerReport) -> bool:
    """Return whether a report is of another incarnation."""
    return previous.incarnation != report.incarnation


def make_server(received_at: float, report: ServerReport) -> KnownServer:
    """Make the state of an incarnation that was not known before."""
    return KnownServer(
        report, received_at, received_at, 0, token_of(report), received_at
    )


def claim_token(directory: Directory, known: KnownServer) -> None:
    """Give an incarnation its token, unless an older one has the same."""
    holder = directory.servers_by_token.get(known.token)
    if holder is None or token_priority(known) < token_priority(holder):
        directory.servers_by_token[known.token] = known


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
    """Return the servers that changed after a revision, oldest change first."""
    return [
        DirectoryRow(
            known.report,
            whole_milliseconds(now - known.received_at),
            whole_milliseconds(now - known.heard_at),
            known.is_unconfirmed,
        )
        for known in servers_after(directory, revision)
    ]


def servers_after(directory: Directory, revision: int) -> list[KnownServer]:
    """Return the servers that changed after a revision, oldest change first."""
    changed: list[KnownServer] = []
    for known in reversed(directory.servers_by_id.values()):
        if known.revision <= revision:
            break
        changed.append(known)
    changed.reverse()
    return changed


def whole_milliseconds(seconds: float) -> int:
    """Round a duration in seconds to milliseconds; at least 0."""
    return max(round(seconds * 1000), 0)


def merge_rows(
    directory: Directory,
    made_at: float,
    rows: Iterable[DirectoryRow],
    *,
    is_settled: bool = False,
) -> Iterator[ServerReport]:
    """Merge rows of another process, and yield the reports that were new.

    Parameters
    ----------
    made_at
        When the other process made the rows, on the local clock.
    is_settled
        Whether this process would know each server that still reports.
    """
    for row in rows:
        report = row.report
        is_unknown = report.server_id not in directory.servers_by_id
        if is_unknown and is_probably_gone(row, is_settled=is_settled):
            continue
        age, silence = row.age_ms / 1000, row.silent_ms / 1000
        if merge_report(directory, made_at, report, age, silence):
            yield report
        known = directory.servers_by_id.get(report.server_id)
        if known is None or is_restart(known.report, report):
            continue
        if not row.is_unconfirmed:
            record_heard(directory, known, made_at - silence)
        elif is_unknown:
            known.is_unconfirmed = True


def is_probably_gone(row: DirectoryRow, *, is_settled: bool) -> bool:
    """Return whether a row may be of a server that left long ago.

    The sender may have been cut off, or down, while the server left.
    """
    if row.report.state is ServerState.ENDED:
        return False
    silent_seconds = row.silent_ms / 1000
    if silent_seconds > SILENT_SERVER_RETENTION.total_seconds():
        return True
    return is_settled and row.is_unconfirmed


def drop_unconfirmed(directory: Directory, named: Collection[str]) -> None:
    """Remove restored servers that a settled process does not know.

    Parameters
    ----------
    named
        Ids of all servers that the other process knows.
    """
    for server_id, known in tuple(directory.servers_by_id.items()):
        if known.is_unconfirmed and server_id not in named:
            drop_server(directory, known)


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


def forget_servers(
    directory: Directory,
    now: float,
    silent_retention: timedelta = UNRESPONSIVE_SERVER_RETENTION,
) -> None:
    """Remove servers that ended or became unresponsive long ago."""
    for known in tuple(directory.servers_by_id.values()):
        is_ended = known.report.state is ServerState.ENDED
        retention = ENDED_SERVER_RETENTION if is_ended else silent_retention
        if now - known.heard_at > retention.total_seconds():
            drop_server(directory, known)
    for token, known in tuple(directory.servers_by_token.items()):
        is_current = (
            directory.servers_by_id.get(known.report.server_id) is known
        )
        age = now - known.heard_at
        if not is_current and age > ENDED_SERVER_RETENTION.total_seconds():
            directory.servers_by_token.pop(token)


def drop_server(directory: Directory, known: KnownServer) -> None:
    """Remove a server from the directory."""
    report = known.report
    directory.servers_by_id.pop(report.server_id)
    directory.heard_by_token.pop(known.token, None)
    if owns_token(directory, known):
        directory.servers_by_token.pop(known.token)
    if directory.ids_by_address.get(report.address) == report.server_id:
        directory.ids_by_address.pop(report.address)
