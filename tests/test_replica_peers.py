"""Peers that a replica sends hellos to after its settings have changed."""

import random

import pytest

from mustardhold.systems import consensus
from mustardhold.systems.replica_membership import known_peers, update_peers
from mustardhold.tables.consensus import Hello, ReplicaMember, Vote
from mustardhold.tables.constants import MAX_REPLICAS
from mustardhold.tables.options import GrowthPolicy


def replica_of(growth, *, is_formed):
    peers = tuple(ReplicaMember('', name, name) for name in ('c1', 'c2'))
    local_member = ReplicaMember('c9/1', 'c9', 'c9')
    replica = consensus.make_replica(
        local_member, peers, random.Random(1).random, 0
    )
    replica.growth = growth
    if is_formed:
        replica.vote = Vote(3)
    return replica


@pytest.mark.parametrize(
    ('growth', 'is_formed', 'expected_peers'),
    [
        (GrowthPolicy(3, may_form=False), False, {'c7', 'c8'}),
        (GrowthPolicy(3, may_form=True), True, {'c7', 'c8'}),
        # All founding replicas have to agree on their peers.
        (GrowthPolicy(3, may_form=True), False, {'c1', 'c2'}),
        # A group that only an operator changes keeps its initial peers.
        (None, False, {'c1', 'c2'}),
    ],
    ids=['new-replica', 'member', 'founder', 'no-growth'],
)
def test_changed_settings_replace_peers_unless_founding(
    growth, is_formed, expected_peers
):
    replica = replica_of(growth, is_formed=is_formed)
    update_peers(replica, ('c7', 'c8'))
    assert {peer.instance_id for peer in known_peers(replica)} == expected_peers


def test_hello_of_the_newest_instance_is_taken_in_however_many_came_before():
    """Guards against a group that takes in no new instance after 24 hellos."""
    replica = replica_of(GrowthPolicy(3, may_form=False), is_formed=True)
    member = ReplicaMember('c1/1', 'c1', 'c1')
    replica.members = (replica.local_member, member)
    for number in range(10 * MAX_REPLICAS):
        for sender in (member, ReplicaMember('new', f'n{number}', 'new')):
            # The member introduces itself only once, before all others.
            if number == 0 or sender is not member:
                hello = Hello(sender, is_formed=False, is_answer=False)
                consensus.step(replica, float(number), hello)
        assert f'n{number}' in replica.hellos_by_instance
        assert 'c1' in replica.hellos_by_instance
    assert len(replica.hellos_by_instance) == MAX_REPLICAS
    dropped = replica.counters['membership', 'hello-dropped']
    assert dropped == 10 * MAX_REPLICAS + 1 - MAX_REPLICAS
