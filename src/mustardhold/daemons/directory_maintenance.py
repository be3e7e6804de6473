"""Keeps a directory: saves it as it changes, and forgets what is long gone."""

import trio

from mustardhold.adapters.clock import Clock
from mustardhold.adapters.directory_store import load_reports, save_reports
from mustardhold.adapters.disk import Disk
from mustardhold.daemons.error_reporting import ErrorReporter, report_error
from mustardhold.systems.directory import forget_servers, merge_report
from mustardhold.tables.constants import (
    DIRECTORY_SAVE_INTERVAL,
    RESTORED_REPORT_AGE,
)
from mustardhold.tables.directory import Directory

FORGET_INTERVAL_SECONDS = 5


def restore_directory(disk: Disk, directory: Directory, now: float) -> int:
    """Fill a new directory with what was kept.

    The reports count as somewhat old: servers that are gone by now soon
    get no new flows.

    Returns
    -------
    int
        Servers that were kept.
    """
    age = RESTORED_REPORT_AGE.total_seconds()
    for report in load_reports(disk):
        merge_report(directory, now, report, age)
    return len(directory.servers_by_id)


async def save_directory_changes(
    disk: Disk, directory: Directory, error_reporter: ErrorReporter
) -> None:
    """Save each change of the directory soon, in a thread.

    A disk that is full or stalls delays only this.
    """
    saved_revision = directory.urgent_revision
    while True:
        await trio.sleep(DIRECTORY_SAVE_INTERVAL.total_seconds())
        if directory.urgent_revision == saved_revision:
            continue
        saved_revision = directory.urgent_revision
        reports = tuple(
            known.report for known in directory.servers_by_id.values()
        )
        try:
            await trio.to_thread.run_sync(
                save_reports, disk, reports, abandon_on_cancel=True
            )
        except OSError as error:
            report_error(error_reporter, 'directory-not-kept', error)


async def forget_servers_periodically(
    directory: Directory, clock: Clock
) -> None:
    """Forget servers that are long gone, from time to time."""
    while True:
        await trio.sleep(FORGET_INTERVAL_SECONDS)
        forget_servers(directory, clock.monotonic())
