"""A replica process ends, or reloads its saved state, when a step fails."""

import errno
import logging

import msgspec
import pytest
import trio

from mustardhold.adapters import record_files
from mustardhold.adapters.clock import SystemClock
from mustardhold.adapters.http_app import HandlerRequest
from mustardhold.adapters.replica_store import open_store
from mustardhold.daemons import control_edits, replica_node
from mustardhold.daemons.replica_node import PendingProposal
from mustardhold.systems import consensus
from mustardhold.tables.configurations import VersionedDocument
from mustardhold.tables.consensus import (
    AppendRequest,
    ConfigurationCommand,
    LogEntry,
    NoOp,
    NotLeader,
    Pending,
    ReplicaMember,
    Role,
)
from mustardhold.tables.constants import REPLICA_TICK
from mustardhold.tables.options import ControlOptions
from mustardhold.tables.routing import Accepted, Edit, EntryKind, Unknown


@pytest.fixture
def node(tmp_path):
    options = ControlOptions('c1', 'dc', '127.0.0.1:1', str(tmp_path), ())
    new_node = replica_node.make_node(
        options, SystemClock(), logging.getLogger('test')
    )
    for delay in (0, 3):
        now = new_node.clock.monotonic() + delay
        effects = consensus.tick(new_node.replica, now)
        replica_node.execute_effects(new_node, effects)
    yield new_node
    replica_node.close_node(new_node)


def contradicting_append():
    other = ReplicaMember('c2/1', 'c2', '127.0.0.1:2')
    entries = (LogEntry(9, 1, NoOp()),)
    return AppendRequest(other, 9, 0, 0, entries, 1, 0)


async def test_contradicted_commit_ends_the_process(node):
    assert node.replica.commit_index == 2
    with pytest.raises(ValueError, match='committed'):
        replica_node.step_replica(node, contradicting_append())
    assert node.stopping.is_set()
    with pytest.raises(ValueError, match='committed'):
        replica_node.step_replica(node, contradicting_append())


def fill_disk(monkeypatch, node, *others):
    """Make appends and other operations fail as if the disk were full."""
    append = type(node.disk).append

    def append_half(disk, name, content):
        append(disk, name, content[: len(content) // 2])
        raise OSError(errno.ENOSPC, f'{name}: {len(content)} bytes too many')

    def refuse(_, name, *_arguments):
        raise OSError(errno.ENOSPC, f'{name}: too many bytes')

    monkeypatch.setattr(type(node.disk), 'append', append_half)
    for operation in others:
        monkeypatch.setattr(type(node.disk), operation, refuse)


def propose(node, version):
    document = VersionedDocument(version, b'{}')
    return replica_node.submit_proposal(
        node,
        lambda now: consensus.propose_configuration(
            node.replica, now, document
        ),
    )


async def test_full_disk_refuses_proposals_until_there_is_room(node):
    propose(node, 1)
    with pytest.MonkeyPatch.context() as monkeypatch:
        fill_disk(monkeypatch, node)
        _, pending = propose(node, 2)
        assert isinstance(pending.outcome, Unknown)
        assert pending.done.is_set()
        assert not node.proposals_by_index
        # A vote that cannot be saved is not given, so no election is won.
        for delay in (3, 6):
            now = node.clock.monotonic() + delay
            with replica_node.stopping_on_failure(node):
                effects = consensus.tick(node.replica, now)
                replica_node.execute_effects(node, effects)
        assert node.replica.role is not Role.LEADER
    assert node.replica.configuration.version == 1
    assert not node.stopping.is_set()
    now = node.clock.monotonic() + 9
    replica_node.execute_effects(node, consensus.tick(node.replica, now))
    _, pending = propose(node, 3)
    assert isinstance(pending.outcome, Accepted)
    _, saved = open_store(node.disk)
    versions = [
        entry.command.configuration.version
        for entry in saved.log
        if isinstance(entry.command, ConfigurationCommand)
    ]
    assert versions == [1, 3]


async def test_full_disk_sends_no_append_reply(node, monkeypatch):
    fill_disk(monkeypatch, node)
    log = list(node.replica.log)
    entries = (LogEntry(9, 3, NoOp()),)
    sender = ReplicaMember('c2/1', 'c2', '127.0.0.1:2')
    replica_node.step_replica(
        node, AppendRequest(sender, 9, 2, 1, entries, 2, 0)
    )
    assert node.replica.log == log
    assert node.replica.vote.term == log[-1].term
    assert not node.stopping.is_set()


async def test_full_disk_that_refuses_the_repair_ends_no_process(node):
    """Guards against a process that ends while its log cannot be repaired."""
    propose(node, 1)
    with pytest.MonkeyPatch.context() as monkeypatch:
        fill_disk(monkeypatch, node, 'truncate', 'sync')
        _, pending = propose(node, 2)
        assert pending.done.is_set()
        sender = ReplicaMember('c2/1', 'c2', '127.0.0.1:2')
        replica_node.step_replica(
            node, AppendRequest(sender, 9, 4, 1, (), 3, 0)
        )
        assert isinstance(propose(node, 3)[0], NotLeader)
    assert not node.stopping.is_set()
    with trio.move_on_after(4 * REPLICA_TICK.total_seconds()):
        await replica_node.run_replica(node)
    assert not node.store.is_reload_due
    assert node.replica.configuration.version == 1


async def test_failed_write_ends_the_process(node, monkeypatch):
    def fail(*_):
        raise OSError('no space left on device')

    monkeypatch.setattr(record_files, 'replace_file', fail)
    message = contradicting_append()
    with pytest.raises(OSError, match='no space'):
        replica_node.step_replica(
            node,
            AppendRequest(message.sender, 9, 2, 2, (), 2, 0),
        )
    assert node.stopping.is_set()
    await replica_node.run_replica(node)


async def test_end_of_an_edit_leaves_a_later_edit_at_its_index(
    node, monkeypatch
):
    """Guards against a later edit that is committed but never answered."""
    earlier, later = PendingProposal(1), PendingProposal(3)
    earlier.done.set()
    node.proposals_by_index[5] = later
    monkeypatch.setattr(
        control_edits, 'propose', lambda *_: (Pending(5, 1), earlier)
    )
    edit = Edit('e-1', EntryKind.ROUTE, 'shop', 0)
    request = HandlerRequest({}, msgspec.json.encode(edit))
    await control_edits.handle_edit(node, request)
    assert node.proposals_by_index == {5: later}
