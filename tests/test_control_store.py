"""A replica restores what it saved, and rejects a damaged data directory."""

import random

import msgspec
import pytest

from mustardhold.adapters.disk import (
    FolderInUseError,
    close_folder,
    open_folder,
)
from mustardhold.adapters.record_files import write_record_file
from mustardhold.adapters.records import DamagedFileError, pack_record
from mustardhold.adapters.replica_store import (
    COMMIT_NAME,
    LOG_NAME,
    MAX_COMMIT_BYTES,
    VOTE_NAME,
    ForeignFolderError,
    open_identity,
    open_store,
    save_commit,
    save_effects,
)
from mustardhold.systems import consensus
from mustardhold.systems.replica_log import approximate_size, entries_after
from mustardhold.tables.configurations import VersionedDocument
from mustardhold.tables.consensus import Pending, ReplicaMember, Vote
from mustardhold.tables.constants import (
    MAX_BYTES_PER_MESSAGE,
    SNAPSHOT_BYTES,
)
from mustardhold.tables.routing import Edit, EntryKind, Pool
from tools.fakes.disks import FakeDisk, crash


def run_single_replica(disk, edits):
    """Run a group of one replica, propose edits, and return the replica."""
    local_member = ReplicaMember('c1/1', 'c1', 'c1')
    replica = consensus.make_replica(
        local_member, (local_member,), random.Random(1).random, 0
    )
    store, saved = open_store(disk)
    consensus.restore_replica(replica, saved)
    for now in (0, 3, 3.1):
        save_effects(store, consensus.tick(replica, now), replica.log)
    first = replica.edits.table.version
    for version in range(first, first + edits):
        edit = Edit(f'e{version}', EntryKind.POOL, 'p', version, pool=Pool('p'))
        proposed, effects = consensus.propose_edit(replica, 3.1, edit, 0)
        assert isinstance(proposed, Pending)
        save_effects(store, effects, replica.log)
    return replica


def edit_ids(replica):
    return list(replica.edits.records_by_edit_id)


@pytest.mark.parametrize('edits', [1, 30, 2500])
def test_edits_survive_a_crash(edits):
    disk = FakeDisk(random.Random(edits))
    before = run_single_replica(disk, edits)
    crash(disk)
    after = run_single_replica(disk, 1)
    assert edit_ids(after)[:-1] == edit_ids(before)


@pytest.mark.parametrize('missing_bytes', [1, 3, 20])
def test_incomplete_last_entry_is_dropped(tmp_path, missing_bytes):
    disk = open_folder(tmp_path)
    before = run_single_replica(disk, 3)
    path = tmp_path / LOG_NAME
    path.write_bytes(path.read_bytes()[:-missing_bytes])
    _, saved = open_store(disk)
    assert saved.log == before.log[:-1]
    close_folder(disk)


@pytest.mark.parametrize('offset', range(0, 400, 7))
def test_damaged_middle_is_refused(offset):
    disk = FakeDisk(random.Random(1))
    run_single_replica(disk, 9)
    disk.files_by_name[LOG_NAME].content[offset] ^= 1
    with pytest.raises(DamagedFileError):
        open_store(disk)


@pytest.mark.parametrize('name', ['log', 'vote', 'snapshot'])
def test_missing_file_is_refused(name):
    disk = FakeDisk(random.Random(1))
    run_single_replica(disk, 1_100)
    del disk.files_by_name[name]
    with pytest.raises(DamagedFileError):
        open_store(disk)


@pytest.mark.parametrize('operations', range(40))
def test_kill_during_a_write_loses_no_saved_edit(operations):
    disk = FakeDisk(random.Random(operations))
    before = run_single_replica(disk, 990)
    disk.operations_until_crash = operations
    with pytest.raises(Exception, match='killed'):
        run_single_replica(disk, 30)
    crash(disk)
    after = run_single_replica(disk, 1)
    assert edit_ids(after)[:990] == edit_ids(before)


def test_folder_belongs_to_one_process_and_one_instance(tmp_path):
    disk = open_folder(tmp_path)
    with pytest.raises(FolderInUseError):
        open_folder(tmp_path)
    open_identity(disk, 'c1', 'c1/1')
    close_folder(disk)
    disk = open_folder(tmp_path)
    assert open_identity(disk, 'c1', 'c1/2').uid == 'c1/1'
    with pytest.raises(ForeignFolderError):
        open_identity(disk, 'c2', 'c2/1')


def test_folder_without_its_identity_is_refused(tmp_path):
    disk = open_folder(tmp_path)
    run_single_replica(disk, 1)
    with pytest.raises(DamagedFileError):
        open_identity(disk, 'c1', 'c1/1')
    close_folder(disk)


def run_configurations(disk, versions, content=b'{}'):
    """Commit configurations on a single replica, and save the commits."""
    replica = run_single_replica(disk, 0)
    store, _ = open_store(disk)
    for version in versions:
        proposed, effects = consensus.propose_configuration(
            replica, 3.1, VersionedDocument(version, content)
        )
        assert isinstance(proposed, Pending)
        save_effects(store, effects, replica.log)
        save_commit(store, replica.commit_index)
    return replica


def restore_replica_from(disk):
    local_member = ReplicaMember('c1/1', 'c1', 'c1')
    replica = consensus.make_replica(
        local_member, (local_member,), random.Random(1).random, 0
    )
    _, saved = open_store(disk)
    consensus.restore_replica(replica, saved)
    return replica


def test_log_of_large_configurations_stays_short():
    disk = FakeDisk(random.Random(1))
    content = bytes(100_000)
    replica = run_configurations(disk, range(1, 60), content)
    bound = SNAPSHOT_BYTES + 2 * len(content)
    assert len(disk.files_by_name[LOG_NAME].content) < bound
    assert sum(map(approximate_size, replica.log)) < bound
    crash(disk)
    assert restore_replica_from(disk).configuration == VersionedDocument(
        59, content
    )


def test_messages_of_large_configurations_are_small():
    disk = FakeDisk(random.Random(1))
    replica = run_configurations(disk, range(1, 9), bytes(100_000))
    index, sizes = replica.log[0].index, []
    while index < replica.log[-1].index:
        entries = entries_after(replica, index)
        sizes.append(sum(map(approximate_size, entries)))
        index = entries[-1].index
    assert max(sizes) <= MAX_BYTES_PER_MESSAGE
    # A configuration above the limit is sent in a message of its own.
    replica = run_configurations(disk, [10, 11], bytes(300_000))
    index = replica.log[-1].index - 2
    assert len(entries_after(replica, index)) == 1


def test_committed_configuration_is_restored_without_a_leader():
    disk = FakeDisk(random.Random(1))
    run_configurations(disk, [7])
    crash(disk)
    assert restore_replica_from(disk).configuration.version == 7


@pytest.mark.parametrize('tail', [b'\x00', b'\xff' * 40])
def test_incomplete_commit_record_is_ignored(tail):
    disk = FakeDisk(random.Random(1))
    run_configurations(disk, [7])
    disk.append(COMMIT_NAME, tail)
    run_configurations(disk, [9])
    crash(disk)
    assert restore_replica_from(disk).configuration.version == 9


def test_commit_file_stays_small():
    disk = FakeDisk(random.Random(1))
    run_single_replica(disk, 1)
    store, _ = open_store(disk)
    for index in range(1, 2000):
        save_commit(store, index)
    assert len(disk.read(COMMIT_NAME)) <= MAX_COMMIT_BYTES + 64


def test_entry_that_a_killed_process_left_unsynced_is_durable_after_a_start():
    """Guards against an entry that is acknowledged but lost with the power."""
    disk = FakeDisk(random.Random(1))
    replica = run_single_replica(disk, 3)
    entry = msgspec.structs.replace(
        replica.log[-1], index=replica.log[-1].index + 1
    )
    disk.append(LOG_NAME, pack_record(msgspec.msgpack.encode((entry,))))
    _, saved = open_store(disk)
    assert saved.log[-1] == entry
    crash(disk)
    _, after = open_store(disk)
    assert after.log == saved.log


def test_vote_that_a_killed_process_left_unsynced_is_durable_after_a_start():
    """Guards against a second vote in a term, after a loss of power."""
    disk = FakeDisk(random.Random(1))
    run_single_replica(disk, 1)
    synced_names = dict(disk.synced_names)
    write_record_file(disk, VOTE_NAME, msgspec.msgpack.encode(Vote(9, 'c2/1')))
    # The process was killed between the rename and the sync of the folder.
    disk.synced_names = synced_names
    _, saved = open_store(disk)
    assert saved.vote == Vote(9, 'c2/1')
    assert disk.synced_names[VOTE_NAME] is disk.files_by_name[VOTE_NAME]
