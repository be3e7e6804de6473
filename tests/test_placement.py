"""Tests that buckets settle, move and are reassigned step by step."""

from collections import Counter

import msgspec
import pytest

from mustardhold.systems.addresses import pack_address
from mustardhold.systems.announcements import store_announcement
from mustardhold.systems.bucket_assignment import assign_buckets, fair_counts
from mustardhold.systems.digests import tick_backends
from mustardhold.systems.flow_opening import open_settled
from mustardhold.systems.hashing import bucket_of
from mustardhold.systems.placement import (
    plan_placements,
    report_settleable_buckets,
)
from mustardhold.systems.placement_versions import next_placement_version
from mustardhold.systems.routing import install_table
from mustardhold.systems.settled_buckets import drop_settled_records
from mustardhold.tables.backends import BackendServer, BackendState
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import BUCKETS_PER_POOL
from mustardhold.tables.flows import FlowRecord
from mustardhold.tables.packets import Open, OpenRefused
from mustardhold.tables.placement import (
    Bindings,
    PlacementSet,
)
from mustardhold.tables.routing import Pool, Route, RoutingTable, Weighting
from mustardhold.tables.views import Member, View

SERVICE = '10.20.0.1:443'
ALL = frozenset(range(BUCKETS_PER_POOL))


class Group:
    """A group of one balancer, its own coordinator, and its servers."""

    def __init__(self, weighting=Weighting.AFFINITY, servers=4):
        view = View(1, {'b1': Member('b1', 'dc', '127.0.0.1:1')})
        self.tables = BalancerTables('b1', 'dc', view)
        self.now = 0.0
        self.sequence = 0
        self.servers = {f's{number}': {} for number in range(servers)}
        self.install(1, Pool('werkstatt', weighting=weighting))

    def install(self, version, pool):
        """Install an edited pool."""
        route = Route('werkstatt', (SERVICE,))
        table = RoutingTable(
            version, {'werkstatt': route}, {'werkstatt': pool}, {}
        )
        install_table(self.tables, table)

    def step(self, seconds=3.1, acknowledged=None):
        """Store an announcement of each server, then plan."""
        self.now += seconds
        self.sequence += 1
        for name, changes in self.servers.items():
            announced = BackendServer(
                name,
                'werkstatt',
                'dc',
                '127.0.0.1:9',
                2,
                2000,
                0,
                0,
                BackendState.READY,
                1,
                self.sequence,
            )
            announced = msgspec.structs.replace(announced, **changes)
            store_announcement(self.tables, self.now, announced)
        tick_backends(self.tables, self.now, [])
        version = self.tables.placements.version
        self.tables.placements = plan_placements(
            self.tables,
            self.now,
            version if acknowledged is None else acknowledged,
        )
        return self.tables.placements.placements_by_pool.get('werkstatt')

    def run_steps(self, count):
        """Run some steps and return the placement of the last one."""
        for _ in range(count):
            placement = self.step()
        return placement

    def buckets_at(self, placement, server):
        """Return the buckets that are assigned to a server."""
        return {
            bucket
            for bucket, other in enumerate(placement.assigned_servers)
            if other == server
        }


def flow_in(bucket):
    for number in range(1, 60_000):
        flow = pack_address(f'127.0.0.1:{number}') + pack_address(SERVICE)
        if bucket_of(flow) == bucket:
            return flow
    raise AssertionError(bucket)


@pytest.mark.parametrize(
    'limits',
    [
        {'a': 2000},
        dict.fromkeys('abcdefg', 2000),
        {'a': 100, 'b': 300},
        {'a': 1, 'b': 1000, 'c': 1000},
    ],
)
def test_buckets_are_shared_out_by_capacity(limits):
    counts = Counter(assign_buckets(limits))
    total = sum(limits.values())
    assert sum(fair_counts(limits).values()) == BUCKETS_PER_POOL
    for name, limit in limits.items():
        assert abs(counts[name] - BUCKETS_PER_POOL * limit / total) < 1


def test_pool_settles_once_its_servers_have_announced():
    group = Group()
    assert group.step() is None
    placement = group.run_steps(6)
    assert placement.moving == frozenset()
    assert set(placement.assigned_servers) == set(group.servers)


def test_pool_weighted_for_balance_never_settles():
    group = Group(Weighting.BALANCE)
    assert group.run_steps(8) is None


def test_change_to_balance_keeps_the_servers_of_unrecorded_flows():
    group = Group()
    before = group.run_steps(7)
    group.install(2, Pool('werkstatt', weighting=Weighting.BALANCE))
    placement = group.run_steps(3)
    assert placement.assigned_servers == before.assigned_servers
    assert placement.may_open_elsewhere == ALL


def test_drained_server_loses_openings_in_two_acknowledged_steps():
    group = Group()
    group.run_steps(7)
    group.servers['s1'] = {'state': BackendState.DRAINING, 'connections': 5}
    prepared = group.step()
    buckets = group.buckets_at(prepared, 's1')
    assert prepared.moving >= buckets
    assert not prepared.may_open_elsewhere & buckets
    version = group.tables.placements.version
    waiting = group.step(acknowledged=version - 1)
    assert not waiting.may_open_elsewhere & buckets
    committed = group.step()
    assert committed.may_open_elsewhere >= buckets
    assert group.buckets_at(committed, 's1') == buckets


def test_buckets_are_reassigned_only_once_their_server_has_no_flows():
    group = Group()
    group.run_steps(7)
    group.servers['s1'] = {'state': BackendState.DRAINING, 'connections': 1}
    placement = group.run_steps(8)
    assert 's1' in placement.assigned_servers
    group.servers['s1'] = {'state': BackendState.DRAINING}
    placement = group.run_steps(8)
    assert 's1' not in placement.assigned_servers
    assert placement.moving == frozenset()


def test_returning_server_gets_its_buckets_back_when_no_flow_is_elsewhere():
    group = Group()
    before = group.run_steps(7)
    group.servers['s1'] = {'state': BackendState.DRAINING, 'connections': 5}
    committed = group.run_steps(3)
    bucket = min(group.buckets_at(committed, 's1'))
    flow = flow_in(bucket)
    group.tables.flows_by_key[flow] = FlowRecord(
        'werkstatt', 's2', is_primary=True
    )
    group.servers['s1'] = {'connections': 5}
    placement = group.run_steps(6)
    assert placement.moving == {bucket}
    assert not placement.may_open_elsewhere
    assert not report_settleable_buckets(group.tables)
    group.tables.flows_by_key.clear()
    placement = group.run_steps(2)
    assert placement == before


def test_joining_server_gets_openings_of_its_fair_share():
    group = Group()
    for name in group.servers:
        group.servers[name] = {'connections': 40}
    group.run_steps(7)
    group.servers['s9'] = {}
    placement = group.run_steps(8)
    counts = Counter(
        placement.assigned_servers[bucket]
        for bucket in placement.may_open_elsewhere
    )
    assert sum(counts.values()) in {51, 52}
    assert max(counts.values()) - min(counts.values()) <= 1


@pytest.mark.parametrize(
    ('connections', 'is_moved'), [(1600, False), (1750, True)]
)
def test_server_near_its_limit_loses_openings(connections, is_moved):
    group = Group()
    group.run_steps(7)
    for name in group.servers:
        group.servers[name] = {'connections': connections}
    placement = group.run_steps(3)
    assert bool(placement.may_open_elsewhere) is is_moved


def test_overloaded_server_loses_some_openings():
    group = Group()
    group.run_steps(7)
    for name in group.servers:
        group.servers[name] = {'connections': 900}
    group.servers['s1'] = {'connections': 1020}
    placement = group.run_steps(3)
    moved = placement.may_open_elsewhere
    assert 0 < len(moved) < len(group.buckets_at(placement, 's1'))
    assert moved <= group.buckets_at(placement, 's1')


@pytest.mark.parametrize(
    ('connections', 'share'), [(30, 0), (100, 0.3), (400, 0.15), (1200, 0)]
)
def test_small_pool_opens_a_share_of_its_flows_elsewhere(connections, share):
    """Guards against an uneven hash that is corrected too late."""
    group = Group()
    group.run_steps(7)
    for name in group.servers:
        group.servers[name] = {'connections': connections}
    placement = group.run_steps(3)
    for name in group.servers:
        buckets = group.buckets_at(placement, name)
        moved = len(buckets & placement.may_open_elsewhere)
        assert share * len(buckets) <= moved <= share * len(buckets) + 1


def test_small_changes_of_load_move_no_bucket():
    """Guards against a new version at each plan of a steady small pool."""
    group = Group()
    group.run_steps(7)
    versions = set()
    for number in range(12):
        for name in group.servers:
            group.servers[name] = {'connections': 100 - number % 2 * 8}
        group.step()
        if number > 3:
            versions.add(group.tables.placements.version)
    assert len(versions) == 1


def test_flows_of_a_server_that_reports_too_few_are_recorded():
    """Guards against flows that neither a record nor a report counts."""
    group = Group()
    group.run_steps(7)
    for name in group.servers:
        group.servers[name] = {'connections': 1600}
    group.servers['s1'] = {'connections': 80}
    group.tables.backends_by_id['s1'].held_flows = 100
    placement = group.run_steps(3)
    buckets = group.buckets_at(placement, 's1')
    assert placement.moving >= buckets
    assert not placement.may_open_elsewhere & buckets
    group.servers['s1'] = {'connections': 1600}
    placement = group.run_steps(3)
    assert not placement.moving & buckets


def test_records_of_settled_buckets_are_dropped():
    group = Group()
    placement = group.run_steps(4)
    bindings = Bindings({pack_address(SERVICE): 'werkstatt'})
    settled, moving = flow_in(1), flow_in(2)
    for flow in (settled, moving):
        group.tables.flows_by_key[flow] = FlowRecord(
            'werkstatt',
            placement.assigned_servers[bucket_of(flow)],
            is_primary=True,
        )
    group.tables.placements = PlacementSet(
        9,
        {
            'werkstatt': msgspec.structs.replace(
                placement, moving=frozenset({2})
            )
        },
        bindings,
    )
    drop_settled_records(group.tables)
    assert set(group.tables.flows_by_key) == {moving}


def test_versions_of_two_coordinators_never_collide():
    versions = set()
    members = {name: Member(name, 'dc', '127.0.0.1:1') for name in ('b1', 'b2')}
    for name in members:
        tables = BalancerTables(name, 'dc', View(1, members))
        tables.placements = PlacementSet(2048)
        versions.add(next_placement_version(tables))
    assert len(versions) == 2
    assert min(versions) > 2048


def test_settled_opening_is_refused_at_a_full_or_closed_server():
    group = Group()
    group.run_steps(7)
    server = group.tables.backends_by_id['s1']
    for is_closed in (False, True):
        server.allowance = 0 if not is_closed else 10
        server.open_share = 0 if is_closed else 1
        outbox = []
        open_settled(group.tables, Open(flow_in(1)), server, outbox)
        [send] = outbox
        assert isinstance(send.packet, OpenRefused)
