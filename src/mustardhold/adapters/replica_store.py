"""Durable state of a control replica: identity, vote, snapshot and log."""

import bisect
from dataclasses import dataclass, field

import msgspec

from mustardhold.adapters.disk import Disk, replace_file
from mustardhold.adapters.record_files import (
    read_record_file,
    write_record_file,
)
from mustardhold.adapters.records import (
    DamagedFileError,
    Record,
    pack_record,
    read_record,
    read_records,
)
from mustardhold.systems.consensus import empty_log, empty_snapshot
from mustardhold.tables.consensus import (
    Effects,
    LogEntry,
    NoOp,
    SavedState,
    Snapshot,
    Vote,
)

IDENTITY_NAME = 'identity'
VOTE_NAME = 'vote'
SNAPSHOT_NAME = 'snapshot'
LOG_NAME = 'log'
COMMIT_NAME = 'commit'
MAX_COMMIT_BYTES = 4096

LogBatch = tuple[LogEntry, ...]

_batch_decoder = msgspec.msgpack.Decoder(LogBatch)
_snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)
_vote_decoder = msgspec.msgpack.Decoder(Vote)


class Identity(msgspec.Struct, frozen=True):
    """The replica that a data directory belongs to.

    Attributes
    ----------
    uid
        Generated when the directory was created; never reused.
    """

    instance_id: str
    uid: str


class ForeignFolderError(OSError):
    """The data directory belongs to another replica."""


@dataclass(slots=True)
class ReplicaStore:
    """The open data directory of a replica.

    Attributes
    ----------
    batch_ends
        For each batch of the log file: its last index and its end offset.
    log_size
        Size of the log file in bytes.
    commit_size
        Size of the commit index file in bytes, or ``MAX_COMMIT_BYTES`` if the
        next write must replace the file.
    committed_index
        Highest index that was known to be committed when a step was last
        saved; the saved entries up to it are the committed ones.
    is_reload_due
        Whether the replica has to return to the saved state before its next
        step, as a full disk refused a write.
    """

    disk: Disk
    batch_ends: list[tuple[int, int]] = field(default_factory=list)
    log_size: int = 0
    commit_size: int = 0
    committed_index: int = 0
    is_reload_due: bool = False


def open_identity(disk: Disk, instance_id: str, new_uid: str) -> Identity:
    """Read the identity of a data directory; create it in a new one.

    Raises
    ------
    ForeignFolderError
        If the directory belongs to another replica.
    DamagedFileError
        If the directory has a log but no identity.
    """
    body = read_record_file(disk, IDENTITY_NAME)
    if body is None:
        if disk.read(LOG_NAME) is not None:
            raise DamagedFileError(f'{IDENTITY_NAME} is missing')
        identity = Identity(instance_id, new_uid)
        write_record_file(disk, IDENTITY_NAME, msgspec.msgpack.encode(identity))
        return identity
    identity = msgspec.msgpack.decode(body, type=Identity)
    if identity.instance_id != instance_id:
        raise ForeignFolderError(
            f'the data directory belongs to {identity.instance_id}'
        )
    return identity


def open_store(disk: Disk) -> tuple[ReplicaStore, SavedState]:
    """Read the state of a data directory; create or repair its log.

    A torn tail of the log is truncated. A log that does not contain the last
    entry of the snapshot is replaced by one that starts with that entry.

    Raises
    ------
    DamagedFileError
        If a file is missing or its content is not what was written.
    """
    vote_body = read_record_file(disk, VOTE_NAME)
    vote = _vote_decoder.decode(vote_body) if vote_body else Vote()
    snapshot_body = read_record_file(disk, SNAPSHOT_NAME)
    snapshot = (
        _snapshot_decoder.decode(snapshot_body)
        if snapshot_body
        else empty_snapshot()
    )
    store = ReplicaStore(disk)
    saved_log = open_log(store, is_new=vote.term == 0)
    log = align_log(saved_log, snapshot)
    if log is not saved_log:
        rewrite_log(store, log)
    if log[-1].term > vote.term:
        raise DamagedFileError(f'{VOTE_NAME} is missing or too old')
    store.committed_index = load_commit(store)
    return store, SavedState(vote, snapshot, log, store.committed_index)


def open_log(store: ReplicaStore, *, is_new: bool) -> list[LogEntry]:
    """Read the log; create an empty one in a new data directory.

    Raises
    ------
    DamagedFileError
        If the directory was in use and has no log.
    """
    raw = store.disk.read(LOG_NAME)
    if raw is None and is_new:
        rewrite_log(store, empty_log())
        return empty_log()
    records = read_records(LOG_NAME, raw or b'')
    if not records:
        raise DamagedFileError(f'{LOG_NAME} is missing or too old')
    log = load_log(store, records)
    if raw is not None and store.log_size < len(raw):
        store.disk.truncate(LOG_NAME, store.log_size)
    # The last write or rename may not have been synced, and what was read will
    # be acknowledged.
    store.disk.sync(LOG_NAME)
    store.disk.sync_folder()
    return log


def load_log(store: ReplicaStore, records: list[Record]) -> list[LogEntry]:
    """Decode the entries of all batches.

    Raises
    ------
    DamagedFileError
        If the indexes of the entries have a gap.
    """
    log: list[LogEntry] = []
    for record in records:
        batch = _batch_decoder.decode(record.body)
        log.extend(batch)
        store.batch_ends.append((batch[-1].index, record.end))
        store.log_size = record.end
    if log and log[-1].index - log[0].index + 1 != len(log):
        raise DamagedFileError(f'{LOG_NAME} is missing or too old')
    return log


def align_log(log: list[LogEntry], snapshot: Snapshot) -> list[LogEntry]:
    """Return the log if it contains the snapshot's entry, else a new log.

    A new log starts with the entry of the snapshot.

    Raises
    ------
    DamagedFileError
        If entries are missing between the snapshot and the log.
    """
    if log[0].index > snapshot.index:
        raise DamagedFileError(f'{SNAPSHOT_NAME} is missing or too old')
    if log[-1].index >= snapshot.index:
        entry = log[snapshot.index - log[0].index]
        if entry.term == snapshot.term:
            return log
    return [LogEntry(snapshot.term, snapshot.index, NoOp())]


def save_effects(
    store: ReplicaStore, effects: Effects, log: list[LogEntry]
) -> None:
    """Make the effects of a step durable.

    The messages and replies of the step may be sent only afterwards.
    """
    if effects.vote is not None:
        body = msgspec.msgpack.encode(effects.vote)
        write_record_file(store.disk, VOTE_NAME, body)
    if effects.snapshot is not None:
        body = msgspec.msgpack.encode(effects.snapshot)
        write_record_file(store.disk, SNAPSHOT_NAME, body)
    if effects.is_log_rewritten:
        rewrite_log(store, log)
        return
    if effects.retained_index is not None:
        replace_log_tail(store, effects.retained_index, log)
        return
    if effects.appended:
        append_batch(store, tuple(effects.appended))
        store.disk.sync(LOG_NAME)


def append_batch(store: ReplicaStore, batch: LogBatch) -> None:
    """Append entries to the log file without a sync."""
    packed = pack_record(msgspec.msgpack.encode(batch))
    store.disk.append(LOG_NAME, packed)
    store.log_size += len(packed)
    store.batch_ends.append((batch[-1].index, store.log_size))


def replace_log_tail(
    store: ReplicaStore, retained_index: int, log: list[LogEntry]
) -> None:
    """Replace the saved entries above an index by those of the new log.

    If the index lies within a batch, the whole log file is replaced
    atomically, because the retained entries of that batch may have been
    acknowledged. Otherwise
    the truncation is synced before the next batch is appended, so that only
    the last batch can be torn.
    """
    retained_batches = bisect.bisect_right(
        store.batch_ends, (retained_index, store.log_size)
    )
    if (
        not retained_batches
        or store.batch_ends[retained_batches - 1][0] != retained_index
    ):
        rewrite_log(store, log)
        return
    del store.batch_ends[retained_batches:]
    store.log_size = store.batch_ends[-1][1]
    store.disk.truncate(LOG_NAME, store.log_size)
    store.disk.sync(LOG_NAME)
    batch = tuple(log[retained_index + 1 - log[0].index :])
    if batch:
        append_batch(store, batch)
        store.disk.sync(LOG_NAME)


def rewrite_log(store: ReplicaStore, log: list[LogEntry]) -> None:
    """Atomically replace the log file by one batch with all entries."""
    packed = pack_record(msgspec.msgpack.encode(tuple(log)))
    replace_file(store.disk, LOG_NAME, packed)
    store.log_size = len(packed)
    store.batch_ends = [(log[-1].index, store.log_size)]


def load_commit(store: ReplicaStore) -> int:
    """Read the last saved commit index; return 0 if none is readable."""
    raw = store.disk.read(COMMIT_NAME) or b''
    index, start = 0, 0
    record = read_record(raw, start)
    while record is not None:
        index = max(index, msgspec.msgpack.decode(record.body, type=int))
        start = record.end
        record = read_record(raw, start)
    # Records after a torn one could not be read, and a new file is durable
    # only after a sync of its directory: in both cases the next write must
    # replace the file.
    is_intact = start > 0 and start == len(raw)
    store.commit_size = start if is_intact else MAX_COMMIT_BYTES
    return index


def save_commit(store: ReplicaStore, index: int) -> None:
    """Save the commit index.

    After a restart, entries up to it are applied immediately, before a leader
    is elected. Losing or tearing this record is harmless.

    Raises
    ------
    OSError
        If the write fails, for example because the disk is full.
    """
    packed = pack_record(msgspec.msgpack.encode(index))
    if store.commit_size >= MAX_COMMIT_BYTES:
        replace_file(store.disk, COMMIT_NAME, packed)
        store.commit_size = len(packed)
        return
    size = store.commit_size + len(packed)
    # Nothing could be read behind a part of this record.
    store.commit_size = MAX_COMMIT_BYTES
    store.disk.append(COMMIT_NAME, packed)
    store.disk.sync(COMMIT_NAME)
    store.commit_size = size
