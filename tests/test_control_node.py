"""A replica process ends where a step fails."""

import logging

import pytest

from mustardhold.adapters import replica_store
from mustardhold.adapters.clock import SystemClock
from mustardhold.daemons import replica_node
from mustardhold.systems import consensus
from mustardhold.tables.consensus import (
    AppendRequest,
    LogEntry,
    NoOp,
    ReplicaMember,
)
from mustardhold.tables.options import ControlOptions


@pytest.fixture
def node(tmp_path):
    options = ControlOptions('c1', 'dc', '127.0.0.1:1', str(tmp_path), ())
    made = replica_node.make_node(
        options, SystemClock(), logging.getLogger('test')
    )
    for later in (0, 3):
        now = made.clock.monotonic() + later
        effects = consensus.tick(made.replica, now)
        replica_node.follow_effects(made, effects)
    yield made
    replica_node.close_node(made)


def contradiction():
    other = ReplicaMember('c2/1', 'c2', '127.0.0.1:2')
    entries = (LogEntry(9, 1, NoOp()),)
    return AppendRequest(other, 9, 0, 0, entries, 1, 0)


async def test_contradicted_commit_ends_the_process(node):
    assert node.replica.commit_index == 2
    with pytest.raises(ValueError, match='committed'):
        replica_node.take_step(node, contradiction())
    assert node.stopping.is_set()
    with pytest.raises(ValueError, match='committed'):
        replica_node.take_step(node, contradiction())


async def test_failed_write_ends_the_process(node, monkeypatch):
    def fail(*_):
        raise OSError('no space left on device')

    monkeypatch.setattr(replica_store, 'replace_file', fail)
    message = contradiction()
    with pytest.raises(OSError, match='no space'):
        replica_node.take_step(
            node,
            AppendRequest(message.sender, 9, 2, 2, (), 2, 0),
        )
    assert node.stopping.is_set()
    await replica_node.run_replica(node)
