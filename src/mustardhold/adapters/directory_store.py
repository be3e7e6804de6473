"""Storage of the directory of backend servers across restarts.

A snapshot holds all servers, and a log the changes since then, so that a
change costs the same in a fleet of any size. The directory is soft state:
servers report again within a second or two. Until then, control instances
that all restart at once serve what they saved.
"""

from dataclasses import dataclass

import msgspec

from mustardhold.adapters.disk import Disk
from mustardhold.adapters.record_files import (
    read_record_file,
    write_record_file,
)
from mustardhold.adapters.records import (
    DamagedFileError,
    pack_record,
    read_records,
)
from mustardhold.systems.report_checks import is_usable
from mustardhold.tables.directory import ServerReport

DIRECTORY_NAME = 'servers'
LOG_NAME = 'servers-log'
# Below this size, rewriting the snapshot would cost more than reading the log.
MIN_LOG_BYTES = 65_536

_list_decoder = msgspec.msgpack.Decoder(tuple[msgspec.Raw, ...])
_report_decoder = msgspec.msgpack.Decoder(ServerReport)


@dataclass(slots=True)
class DirectoryStore:
    """The saved directory.

    Attributes
    ----------
    snapshot_bytes, log_bytes
        Sizes of both files.
    is_log_usable
        Whether changes may be appended. If not, the next save writes a new
        snapshot and removes the log.
    unusable
        Number of saved reports that were left aside when they were loaded.
    """

    disk: Disk
    snapshot_bytes: int = 0
    log_bytes: int = 0
    is_log_usable: bool = False
    unusable: int = 0


def load_reports(store: DirectoryStore) -> tuple[ServerReport, ...]:
    """Load the saved reports, older ones first.

    What is unreadable, or would not be accepted from a server, is left aside:
    an earlier version may have saved it.
    """
    reports = (*load_snapshot(store), *load_log(store))
    usable = tuple(report for report in reports if is_usable(report))
    store.unusable += len(reports) - len(usable)
    return usable


def load_snapshot(store: DirectoryStore) -> tuple[ServerReport, ...]:
    """Load the snapshot; return nothing if it is missing or unreadable."""
    try:
        body = read_record_file(store.disk, DIRECTORY_NAME)
        return () if body is None else decode_reports(store, body)
    except (DamagedFileError, msgspec.DecodeError):
        return ()


def load_log(store: DirectoryStore) -> tuple[ServerReport, ...]:
    """Load the changes since the snapshot, up to the first unreadable one."""
    raw = store.disk.read(LOG_NAME) or b''
    reports: list[ServerReport] = []
    try:
        for record in read_records(LOG_NAME, raw):
            reports.extend(decode_reports(store, record.body))
    except (DamagedFileError, msgspec.DecodeError):
        return tuple(reports)
    return tuple(reports)


def decode_reports(
    store: DirectoryStore, body: bytes
) -> tuple[ServerReport, ...]:
    """Decode a list of reports; count and skip malformed ones.

    Raises
    ------
    msgspec.DecodeError
        If the body is no list.
    """
    reports: list[ServerReport] = []
    for raw in _list_decoder.decode(body):
        try:
            reports.append(_report_decoder.decode(raw))
        except msgspec.DecodeError:
            store.unusable += 1
    return tuple(reports)


def save_changes(
    store: DirectoryStore,
    changed: tuple[ServerReport, ...],
    everything: tuple[ServerReport, ...],
) -> None:
    """Durably save the changed reports.

    Parameters
    ----------
    everything
        All reports, for a new snapshot when the log has grown too long.

    Raises
    ------
    OSError
        If a write fails, for example because the disk is full.
    """
    if not store.is_log_usable or is_log_too_long(store):
        write_snapshot(store, everything)
        return
    record = pack_record(msgspec.msgpack.encode(changed))
    # A failed write may leave a part of the record.
    store.is_log_usable = False
    store.disk.append(LOG_NAME, record)
    store.disk.sync(LOG_NAME)
    if not store.log_bytes:
        store.disk.sync_folder()
    store.log_bytes += len(record)
    store.is_log_usable = True


def is_log_too_long(store: DirectoryStore) -> bool:
    """Return whether the log is longer than a new snapshot would be."""
    return store.log_bytes > max(store.snapshot_bytes, MIN_LOG_BYTES)


def write_snapshot(
    store: DirectoryStore, everything: tuple[ServerReport, ...]
) -> None:
    """Replace the snapshot, then remove the log.

    After a crash in between, the log repeats older reports, which changes
    nothing when they are merged.
    """
    body = msgspec.msgpack.encode(everything)
    write_record_file(store.disk, DIRECTORY_NAME, body)
    store.snapshot_bytes = len(body)
    store.disk.remove(LOG_NAME)
    store.disk.sync_folder()
    store.log_bytes = 0
    store.is_log_usable = True
