"""A replica whose disk is full returns to what was saved, and goes on later."""

import errno
import random

import pytest

from mustardhold.adapters.replica_reload import ensure_reloaded, save_step
from mustardhold.adapters.replica_store import open_store, save_commit
from mustardhold.systems import consensus
from mustardhold.tables.configurations import VersionedDocument
from mustardhold.tables.consensus import (
    AppendRequest,
    ConfigurationCommand,
    Effects,
    LogEntry,
    MembersCommand,
    NoOp,
    ReplicaMember,
    Role,
)
from tools.fakes.disks import FakeDisk

C1, C2, C3 = (
    ReplicaMember(f'{name}/1', name, name) for name in ('c1', 'c2', 'c3')
)
FOUNDED = LogEntry(1, 1, MembersCommand((C1, C2, C3)))
EVERYTHING = frozenset({'append', 'sync', 'rename', 'truncate', 'sync_folder'})


def configured(term, index, version):
    document = VersionedDocument(version, b'{}')
    return LogEntry(term, index, ConfigurationCommand(document))


class Process:
    """A replica and its store on a disk that a test can fill."""

    def __init__(self):
        self.disk = FakeDisk(random.Random(1))
        self.store, saved = open_store(self.disk)
        self.replica = consensus.make_replica(
            C1, (C1, C2, C3), random.Random(1).random, 0
        )
        consensus.restore_replica(self.replica, saved)

    def receive(self, message):
        """Take a step as the daemon does; return whether it was saved."""
        if not ensure_reloaded(self.store, self.replica, 1):
            return False
        effects = consensus.step(self.replica, 1, message)
        return save_step(self.store, self.replica, 1, effects) is None


@pytest.fixture
def process():
    """Make a replica with a saved entry at index 3 that was never committed."""
    made = Process()
    first = (FOUNDED, LogEntry(1, 2, NoOp()))
    assert made.receive(AppendRequest(C2, 1, 0, 0, first, 2, 0))
    lost = configured(1, 3, version=7)
    assert made.receive(AppendRequest(C2, 1, 2, 1, (lost,), 2, 0))
    return made


# The next leader's log has other entries from index 3 on, and commits them.
OTHER_ENTRIES = AppendRequest(
    C3, 2, 2, 1, (LogEntry(2, 3, NoOp()), configured(2, 4, version=8)), 4, 0
)


@pytest.mark.parametrize('refused', [{'append'}, {'sync'}, EVERYTHING])
def test_refused_step_commits_no_entry_that_it_would_have_replaced(
    process, refused
):
    """Guards against a commit index of memory that is applied to the disk."""
    process.disk.refused = frozenset(refused)
    assert not process.receive(OTHER_ENTRIES)
    assert process.replica.configuration.version != 7
    process.disk.refused = frozenset()
    assert ensure_reloaded(process.store, process.replica, 1)
    assert process.replica.commit_index == 2
    assert process.replica.configuration.version == 0
    assert process.receive(OTHER_ENTRIES)
    assert process.replica.configuration.version == 8


@pytest.mark.parametrize('allowed', range(6))
def test_refused_repair_is_tried_again_until_there_is_room(process, allowed):
    """Guards against a process that ends while its full log is repaired."""
    process.disk.refused, process.disk.allowed = EVERYTHING, allowed
    for _ in range(3):
        process.receive(OTHER_ENTRIES)
        # A proposal runs no step, so it is saved at once.
        assert save_step(process.store, process.replica, 1, Effects()) is None
    assert process.replica.role is not Role.LEADER
    process.disk.refused = frozenset()
    assert ensure_reloaded(process.store, process.replica, 1)
    assert process.replica.configuration.version == 0
    assert process.receive(OTHER_ENTRIES)
    assert process.replica.configuration.version == 8
    _, saved = open_store(process.disk)
    assert saved.log == process.replica.log


def test_failure_of_another_kind_is_raised(process):
    """A disk that is broken must not count as one that is full."""
    process.disk.refused, process.disk.error = EVERYTHING, errno.EIO
    with pytest.raises(OSError, match='refused'):
        process.receive(OTHER_ENTRIES)


def test_commit_index_is_kept_after_a_record_that_was_cut_off(process):
    """Guards against a start that knows no commit since the disk was full."""
    save_commit(process.store, 1)
    process.disk.refused = EVERYTHING
    with pytest.raises(OSError, match='refused'):
        save_commit(process.store, 2)
    process.disk.refused = frozenset()
    save_commit(process.store, 2)
    _, saved = open_store(process.disk)
    assert saved.commit_index == 2
