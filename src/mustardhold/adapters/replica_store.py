"""Durable state of a control replica: identity, vote, snapshot and log."""

import bisect
from dataclasses import dataclass, field

import msgspec

from mustardhold.adapters.disk import Disk, replace_file
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
    """Which replica a folder belongs to.

    Attributes
    ----------
    uid
        Chosen when the folder was made; never used again.
    """

    instance_id: str
    uid: str


class ForeignFolderError(OSError):
    """The folder belongs to another replica."""


@dataclass(slots=True)
class ReplicaStore:
    """An open folder of a replica.

    Attributes
    ----------
    batch_ends
        Last index of each batch of the log file, and where the batch ends.
    log_size
        Bytes of the log file.
    commit_size
        Bytes of the file of commit indexes.
    """

    disk: Disk
    batch_ends: list[tuple[int, int]] = field(default_factory=list)
    log_size: int = 0
    commit_size: int = 0


@dataclass(slots=True)
class SavedState:
    """What a folder held when it was opened.

    Attributes
    ----------
    commit_index
        Entries up to it were committed, maybe later ones as well.
    """

    vote: Vote
    snapshot: Snapshot
    log: list[LogEntry]
    commit_index: int = 0


def open_identity(disk: Disk, instance_id: str, new_uid: str) -> Identity:
    """Read a folder's identity; a new folder gets one.

    Raises
    ------
    ForeignFolderError
        If the folder belongs to another replica.
    DamagedFileError
        If a folder that was in use has no identity.
    """
    body = read_whole(disk, IDENTITY_NAME)
    if body is None:
        if disk.read(LOG_NAME) is not None:
            raise DamagedFileError(f'{IDENTITY_NAME} is missing')
        identity = Identity(instance_id, new_uid)
        save_whole(disk, IDENTITY_NAME, msgspec.msgpack.encode(identity))
        return identity
    identity = msgspec.msgpack.decode(body, type=Identity)
    if identity.instance_id != instance_id:
        raise ForeignFolderError(
            f'the folder belongs to {identity.instance_id}'
        )
    return identity


def read_whole(disk: Disk, name: str) -> bytes | None:
    """Read a file that is one record.

    Raises
    ------
    DamagedFileError
        If it does not match its checksums.
    """
    raw = disk.read(name)
    if raw is None:
        return None
    record = read_record(raw, 0)
    if record is None or record.end != len(raw):
        raise DamagedFileError(f'{name} is damaged')
    return record.body


def save_whole(disk: Disk, name: str, body: bytes) -> None:
    """Replace a file by one record, durably."""
    replace_file(disk, name, pack_record(body))


def open_store(disk: Disk) -> tuple[ReplicaStore, SavedState]:
    """Read what a folder holds, and cut a torn tail off its log.

    Raises
    ------
    DamagedFileError
        If a file is missing or does not hold what was written to it.
    """
    vote_body = read_whole(disk, VOTE_NAME)
    vote = _vote_decoder.decode(vote_body) if vote_body else Vote()
    snapshot_body = read_whole(disk, SNAPSHOT_NAME)
    snapshot = (
        _snapshot_decoder.decode(snapshot_body)
        if snapshot_body
        else empty_snapshot()
    )
    store = ReplicaStore(disk)
    saved_log = open_log(store, is_new=vote.term == 0)
    log = fit_log(saved_log, snapshot)
    if log is not saved_log:
        rewrite_log(store, log)
    if log[-1].term > vote.term:
        raise DamagedFileError(f'{VOTE_NAME} is missing or too old')
    return store, SavedState(vote, snapshot, log, load_commit(store))


def open_log(store: ReplicaStore, *, is_new: bool) -> list[LogEntry]:
    """Read the log; a new folder gets an empty one.

    Raises
    ------
    DamagedFileError
        If a folder that was in use has no log.
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
        store.disk.sync(LOG_NAME)
    return log


def load_log(store: ReplicaStore, records: list[Record]) -> list[LogEntry]:
    """Read the entries of all batches.

    Raises
    ------
    DamagedFileError
        If the entries are not numbered without a gap.
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


def fit_log(log: list[LogEntry], snapshot: Snapshot) -> list[LogEntry]:
    """Keep a log that goes on from its snapshot, else start a new one.

    Raises
    ------
    DamagedFileError
        If entries are missing between the two.
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
    """Make a step durable; only then may its messages and answers leave."""
    if effects.vote is not None:
        body = msgspec.msgpack.encode(effects.vote)
        save_whole(store.disk, VOTE_NAME, body)
    if effects.snapshot is not None:
        body = msgspec.msgpack.encode(effects.snapshot)
        save_whole(store.disk, SNAPSHOT_NAME, body)
    if effects.is_log_rewritten:
        rewrite_log(store, log)
        return
    if effects.retained_index is not None:
        cut_log(store, effects.retained_index, log)
        return
    if effects.appended:
        append_batch(store, tuple(effects.appended))
        store.disk.sync(LOG_NAME)


def append_batch(store: ReplicaStore, batch: LogBatch) -> None:
    """Write entries at the end of the log, not synced yet."""
    packed = pack_record(msgspec.msgpack.encode(batch))
    store.disk.append(LOG_NAME, packed)
    store.log_size += len(packed)
    store.batch_ends.append((batch[-1].index, store.log_size))


def cut_log(
    store: ReplicaStore, retained_index: int, log: list[LogEntry]
) -> None:
    """Drop the saved entries above an index, and save what follows it.

    Where one batch holds both kinds, the log is replaced as a whole: its
    kept entries may have been acknowledged. Else the cut is synced before
    the next batch, so a torn batch is always the last.
    """
    kept = bisect.bisect_right(
        store.batch_ends, (retained_index, store.log_size)
    )
    if not kept or store.batch_ends[kept - 1][0] != retained_index:
        rewrite_log(store, log)
        return
    del store.batch_ends[kept:]
    store.log_size = store.batch_ends[-1][1]
    store.disk.truncate(LOG_NAME, store.log_size)
    store.disk.sync(LOG_NAME)
    batch = tuple(log[retained_index + 1 - log[0].index :])
    if batch:
        append_batch(store, batch)
        store.disk.sync(LOG_NAME)


def rewrite_log(store: ReplicaStore, log: list[LogEntry]) -> None:
    """Replace the log file; after a crash it is the old or the new one."""
    packed = pack_record(msgspec.msgpack.encode(tuple(log)))
    replace_file(store.disk, LOG_NAME, packed)
    store.log_size = len(packed)
    store.batch_ends = [(log[-1].index, store.log_size)]


def load_commit(store: ReplicaStore) -> int:
    """Read the last commit index that was noted; 0 where none is readable."""
    raw = store.disk.read(COMMIT_NAME) or b''
    index, start = 0, 0
    record = read_record(raw, start)
    while record is not None:
        index = max(index, msgspec.msgpack.decode(record.body, type=int))
        start = record.end
        record = read_record(raw, start)
    # What follows a torn note could not be read, and a new file is durable
    # only with its folder: in both cases the next note replaces the file.
    is_whole = start > 0 and start == len(raw)
    store.commit_size = start if is_whole else MAX_COMMIT_BYTES
    return index


def save_commit(store: ReplicaStore, index: int) -> None:
    """Note up to where the log is committed.

    After a restart that much is in force at once, before there is a leader.
    A note that is lost or torn does no harm.

    Raises
    ------
    OSError
        If the disk takes no more.
    """
    packed = pack_record(msgspec.msgpack.encode(index))
    if store.commit_size >= MAX_COMMIT_BYTES:
        replace_file(store.disk, COMMIT_NAME, packed)
        store.commit_size = len(packed)
        return
    store.disk.append(COMMIT_NAME, packed)
    store.commit_size += len(packed)
    store.disk.sync(COMMIT_NAME)
