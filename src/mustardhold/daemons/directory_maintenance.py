"""Restores the directory of servers, saves its changes and expires servers."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import trio

from mustardhold.adapters.clock import Clock
from mustardhold.adapters.directory_store import (
    DirectoryStore,
    load_reports,
    save_changes,
)
from mustardhold.adapters.document_store import save_document, save_evacuations
from mustardhold.daemons.error_reporting import ErrorReporter, report_error
from mustardhold.systems.directory import merge_report, servers_after
from mustardhold.systems.liveness import find_silent, update_silent
from mustardhold.tables.configurations import VersionedDocument
from mustardhold.tables.constants import (
    DIRECTORY_SAVE_INTERVAL,
    DIRECTORY_SAVE_PAUSE,
    RESTORED_REPORT_AGE,
)
from mustardhold.tables.directory import Directory, ServerState
from mustardhold.tables.evacuations import EvacuationState

FORGET_INTERVAL_SECONDS = 5
SILENCE_CHECK_SECONDS = 0.2


@dataclass(slots=True)
class DirectorySaver:
    """Saves the changes of a directory.

    Attributes
    ----------
    configuration
        Returns the configuration in force, of which a copy is kept.
    evacuations
        Returns the evacuated data centres, of which a copy is kept as well.
    saved_revision, saved_version, saved_evacuations
        Revision of the directory up to which all changes are on disk, version
        of the copy of the configuration, and revision of the copy of the
        evacuated data centres.
    requested, saved
        Set and replaced when a save is requested, and when one has ended.
    """

    store: DirectoryStore
    directory: Directory
    configuration: Callable[[], VersionedDocument]
    evacuations: Callable[[], EvacuationState]
    error_reporter: ErrorReporter
    saved_revision: int = 0
    saved_version: int = 0
    saved_evacuations: int = 0
    requested: trio.Event = field(default_factory=trio.Event)
    saved: trio.Event = field(default_factory=trio.Event)


def restore_directory(
    store: DirectoryStore, directory: Directory, now: float
) -> int:
    """Fill an empty directory with the reports that were saved on disk.

    The reports are given an age, so that servers that have gone meanwhile
    soon stop getting new flows, and count as unconfirmed.

    Returns
    -------
    int
        Number of servers that were restored.
    """
    age = RESTORED_REPORT_AGE.total_seconds()
    for report in load_reports(store):
        merge_report(directory, now, report, age, age)
    for known in directory.servers_by_id.values():
        known.is_unconfirmed = known.report.state is not ServerState.ENDED
    return len(directory.servers_by_id)


async def save_periodically(saver: DirectorySaver) -> None:
    """Save changes of servers and of the configuration, in a thread.

    A disk that is full or stalls delays only this task, and those that wait
    until a change is saved.
    """
    while True:
        with trio.move_on_after(DIRECTORY_SAVE_INTERVAL.total_seconds()):
            await saver.requested.wait()
        saver.requested = trio.Event()
        await save_directory(saver)
        await save_configuration(saver)
        await save_evacuation_state(saver)
        # Changes that arrive together are saved together.
        await trio.sleep(DIRECTORY_SAVE_PAUSE.total_seconds())


async def save_directory(saver: DirectorySaver) -> None:
    """Save the changes since the last save, if any."""
    directory, revision = saver.directory, saver.directory.revision
    if revision == saver.saved_revision:
        return
    changed = tuple(
        known.report for known in servers_after(directory, saver.saved_revision)
    )
    everything = tuple(
        known.report for known in directory.servers_by_id.values()
    )
    try:
        await trio.to_thread.run_sync(
            save_changes,
            saver.store,
            changed,
            everything,
            abandon_on_cancel=True,
        )
    except OSError as error:
        report_error(saver.error_reporter, 'directory-not-kept', error)
        return
    saver.saved_revision = revision
    saver.saved.set()
    saver.saved = trio.Event()


async def save_configuration(saver: DirectorySaver) -> None:
    """Save a copy of the configuration in force, if it has changed."""
    document = saver.configuration()
    if document.version == saver.saved_version:
        return
    try:
        await trio.to_thread.run_sync(
            save_document, saver.store.disk, document, abandon_on_cancel=True
        )
    except OSError as error:
        report_error(saver.error_reporter, 'configuration-not-kept', error)
        return
    saver.saved_version = document.version


async def save_evacuation_state(saver: DirectorySaver) -> None:
    """Save a copy of the evacuated data centres, if they are newer.

    After a restart, the replica may not know yet of a later order that is
    committed, and that the copy contains.
    """
    state = saver.evacuations()
    if state.revision <= saver.saved_evacuations:
        return
    try:
        await trio.to_thread.run_sync(
            save_evacuations, saver.store.disk, state, abandon_on_cancel=True
        )
    except OSError as error:
        report_error(saver.error_reporter, 'evacuations-not-kept', error)
        return
    saver.saved_evacuations = state.revision


async def wait_saved(saver: DirectorySaver, revision: int) -> None:
    """Request a save, and wait until a revision of the directory is on disk."""
    saver.requested.set()
    while saver.saved_revision < revision:
        await saver.saved.wait()


async def forget_servers_periodically(
    directory: Directory,
    clock: Clock,
    forget: Callable[[Directory, float], None],
) -> None:
    """Remove servers that have been gone for long, at a fixed interval.

    Parameters
    ----------
    forget
        Removes them; called with the directory and the time.
    """
    while True:
        await trio.sleep(FORGET_INTERVAL_SECONDS)
        forget(directory, clock.monotonic())


async def find_silent_periodically(
    directory: Directory,
    clock: Clock,
    report_interval: timedelta,
    on_change: Callable[[], None],
) -> None:
    """Find the servers that ceased to report, at a fixed interval."""
    while True:
        await trio.sleep(SILENCE_CHECK_SECONDS)
        silent = find_silent(directory, clock.monotonic(), report_interval)
        if update_silent(directory, silent):
            on_change()
