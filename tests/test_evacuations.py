"""Evacuation orders in the replicated log, on a simulated group.

Load: a few orders, 80 racing ones, and 1,100 where the log is compacted. The
loss of all instances after an acknowledgement is covered by the proof.
"""

import itertools

import msgspec
import pytest

from mustardhold.systems.consensus import empty_snapshot
from mustardhold.tables.consensus import EvacuationCommand, Snapshot
from mustardhold.tables.constants import SNAPSHOT_ENTRIES
from mustardhold.tables.evacuations import NO_EVACUATIONS, EvacuationAction
from mustardhold.tables.routing import Accepted
from tools.fakes.evacuations import (
    find_ignored_orders,
    send_order,
    start_order_log,
)
from tools.fakes.event_queue import run_until
from tools.fakes.replicas import (
    kill,
    leader_name,
    live_replicas,
    make_group,
    restart_later,
)

EVACUATE, RESTORE = EvacuationAction
NAMES = ('c1', 'c2', 'c3', 'c4', 'c5')


def run_for(log, seconds):
    run_until(log.group.queue, log.group.queue.now + seconds)


def make_log(names=NAMES):
    group = make_group(1, names, syncing=True)
    group.network.loss = group.network.repeats = 0
    log = start_order_log(group)
    run_for(log, 6)
    return log


def states(log):
    """Return the distinct states of the replicas that run."""
    return {replica.evacuations for replica in live_replicas(log.group)}


def evacuated(log):
    """Return what all replicas agree on as evacuated."""
    (state,) = states(log)
    return [one.name for one in state.data_centres]


def logged_orders(log):
    leader = log.group.nodes_by_name[leader_name(log.group)].replica
    return [
        entry.command.order
        for entry in leader.log
        if isinstance(entry.command, EvacuationCommand)
    ]


@pytest.mark.parametrize(
    ('orders', 'changes', 'expected'),
    [
        ([(EVACUATE, 'a'), (EVACUATE, 'a')], [True, False], ['a']),
        ([(RESTORE, 'a')], [False], []),
        ([(EVACUATE, 'b'), (EVACUATE, 'a')], [True, True], ['a', 'b']),
        ([(EVACUATE, 'a'), (RESTORE, 'a')], [True, True], []),
    ],
    ids=['repeated', 'end-of-none', 'two', 'start-and-end'],
)
def test_only_an_order_that_changes_something_raises_the_revision(
    orders, changes, expected
):
    """A repeated order must not wake all balancers, nor fail."""
    log, revisions = make_log(), [0]
    for action, data_centre in orders:
        send_order(log, 'c2', data_centre, action)
        run_for(log, 0.5)
        revisions.append(log.outcomes[-1][1].version)
    changed = [after > first for first, after in itertools.pairwise(revisions)]
    assert changed == changes
    assert evacuated(log) == expected
    assert len(logged_orders(log)) == len(orders)


def test_racing_orders_are_resolved_by_the_order_of_the_log():
    """Replicas must not disagree on whether the start or the end won."""
    log = make_log()
    for round_number in range(20):
        for name, action in zip(NAMES, (EVACUATE, RESTORE) * 2, strict=False):
            send_order(log, name, 'a', action)
        run_for(log, 0.5)
        is_last_a_start = logged_orders(log)[-1].action is EVACUATE
        assert evacuated(log) == ['a'] * is_last_a_start, round_number
    assert len(log.outcomes) == 80
    assert not log.ambiguous_revisions
    assert not find_ignored_orders(log)


def test_order_is_acknowledged_by_the_next_leader():
    """An order that a lost leader left open is not lost when it is resent."""
    log = make_log()
    leader = leader_name(log.group)
    follower = next(name for name in NAMES if name != leader)
    send_order(log, follower, 'a', EVACUATE)
    run_for(log, 0.003)
    kill(log.group, leader)
    run_for(log, 5)
    assert not log.outcomes
    send_order(log, follower, 'a', EVACUATE)
    run_for(log, 1)
    assert isinstance(log.outcomes[-1][1], Accepted)
    assert evacuated(log) == ['a']


def test_minority_side_refuses_and_changes_nothing():
    """A leader cut off from the majority must not acknowledge an order."""
    log = make_log()
    leader = leader_name(log.group)
    others = [name for name in NAMES if name != leader]
    for name in (leader, others[0]):
        log.group.network.partition_by_node[name] = 1
    send_order(log, leader, 'a', EVACUATE)
    run_for(log, 5)
    send_order(log, leader, 'b', EVACUATE)
    send_order(log, others[0], 'c', EVACUATE)
    send_order(log, others[1], 'd', EVACUATE)
    run_for(log, 1)
    accepted = [
        order.data_centre
        for order, outcome in log.outcomes
        if isinstance(outcome, Accepted)
    ]
    assert accepted == ['d']
    log.group.network.partition_by_node.clear()
    run_for(log, 5)
    assert evacuated(log) == ['d']


def test_snapshot_keeps_the_state_over_a_restart_and_for_a_late_replica():
    """Compaction removes the entries that the state came from."""
    log = make_log(('c1', 'c2', 'c3'))
    late = next(name for name in ('c1', 'c2') if name != leader_name(log.group))
    kill(log.group, late)
    for count in range(SNAPSHOT_ENTRIES + 100):
        action = RESTORE if count % 2 else EVACUATE
        send_order(log, 'c3', 'b' if count else 'a', action)
        run_for(log, 0.01)
    run_for(log, 1)
    before = states(log)
    assert logged_orders(log)[0].data_centre != 'a'
    restart_later(log.group, late, 0)
    run_for(log, 6)
    assert states(log) == before
    for name in log.group.nodes_by_name:
        kill(log.group, name)
        restart_later(log.group, name, 0.5)
    run_for(log, 6)
    assert states(log) == before


def test_snapshot_of_an_earlier_version_loads():
    """Disks written before evacuations existed must still open."""
    fields = msgspec.structs.asdict(empty_snapshot())
    del fields['evacuations']
    raw = msgspec.msgpack.encode(fields)
    loaded = msgspec.msgpack.decode(raw, type=Snapshot)
    assert loaded.evacuations == NO_EVACUATIONS
