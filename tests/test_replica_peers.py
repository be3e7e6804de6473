"""Peers that a replica sends hellos to after its settings have changed."""

import random

import pytest

from mustardhold.systems import consensus
from mustardhold.systems.replica_membership import known_peers, update_peers
from mustardhold.tables.consensus import ReplicaMember, Vote
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
