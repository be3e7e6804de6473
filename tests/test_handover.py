"""Tests queries for flow records, held packets and placement updates."""

import random

from mustardhold.systems.affinity import handle_caller_packet
from mustardhold.systems.ownership import is_lease_live, owners_of_flow
from mustardhold.systems.packet_holding import handle_record_query
from mustardhold.systems.peers import handle_peer_message, tick
from mustardhold.systems.placement_updates import (
    EMPTY_PLACEMENTS,
    apply_update,
    make_update,
)
from mustardhold.tables.constants import (
    BUCKETS_PER_POOL,
    MAX_HELD_PACKETS,
    MAX_HELD_PER_FLOW,
)
from mustardhold.tables.outbox import ToBackend, ToCaller, ToPeer
from mustardhold.tables.packets import Open, Upload
from mustardhold.tables.peers import RecordChain, RecordQuery, RecordReply
from mustardhold.tables.placement import Placement, PlacementSet
from tools.fakes import fleet as fakes
from tools.fakes.event_queue import run_until
from tools.fakes.fleet import flow_key
from tools.fakes.servers import make_servers

NAMES = ('b1', 'b2', 'b3', 'b4', 'b5')


def make_group():
    fleet = fakes.make_fleet(
        1, fakes.PRODUCT, NAMES, make_servers('werkstatt', 3)
    )
    run_until(fleet.queue, 2)
    return fleet


def flow_of(fleet, tables, *, is_primary=True):
    """Find a flow that a balancer owns as primary, or does not own."""
    address = fleet.address_by_service['werkstatt']
    for number in range(1, 10_000):
        flow = flow_key(number, address)
        owners = owners_of_flow(tables, flow)
        if is_primary and owners[0] == tables.instance_id:
            return flow
        if not is_primary and tables.instance_id not in owners:
            return flow
    raise AssertionError


def mark_records_incomplete(tables, flow):
    """Mark the records of a balancer's buckets as incomplete."""
    handover = tables.handover
    for bucket, owners in tables.owners_by_bucket.items():
        if tables.instance_id in owners:
            handover.incomplete_since_by_bucket[bucket] = tables.view.epoch
    handover.source_member_by_bucket.clear()
    handover.received_epoch_by_member.clear()


def sends_of(kind, outbox):
    return [send for send in outbox if isinstance(send, kind)]


def test_a_packet_that_overtook_its_opening_waits_for_it():
    fleet = make_group()
    now = fleet.queue.now
    tables = fleet.balancers_by_id['b2']
    flow = flow_of(fleet, tables)
    outbox = []
    handle_caller_packet(tables, now, Upload(flow, b'early'), outbox)
    assert not outbox
    handle_caller_packet(tables, now + 0.01, Open(flow), outbox)
    [uploaded] = sends_of(ToBackend, outbox)
    assert uploaded.packet == Upload(flow, b'early')
    [chained] = sends_of(ToPeer, outbox)
    assert isinstance(chained.message, RecordChain)


def test_a_packet_without_an_opening_is_refused_in_time():
    fleet = make_group()
    now = fleet.queue.now
    tables = fleet.balancers_by_id['b2']
    outbox = []
    flow = flow_of(fleet, tables)
    handle_caller_packet(tables, now, Upload(flow, b''), outbox)
    tick(tables, now + 0.1, outbox)
    assert [send.packet.flow for send in sends_of(ToCaller, outbox)] == [flow]
    assert not tables.handover.held_by_flow
    assert tables.handover.held_packets == 0


def test_a_primary_owner_without_records_queries_before_it_decides():
    fleet = make_group()
    now = fleet.queue.now
    tables = fleet.balancers_by_id['b2']
    flow = flow_of(fleet, tables)
    mark_records_incomplete(tables, flow)
    outbox = []
    handle_caller_packet(tables, now, Open(flow), outbox)
    queried = {send.instance_id for send in sends_of(ToPeer, outbox)}
    assert queried == set(NAMES) - {'b2'}
    assert all(isinstance(send.message, RecordQuery) for send in outbox)
    outbox = []
    epoch = tables.view.epoch
    reply = RecordReply('b4', epoch, flow, 'werkstatt', 'werkstatt-2')
    handle_peer_message(tables, now, RecordReply('b1', epoch, flow), outbox)
    assert not outbox
    handle_peer_message(tables, now, reply, outbox)
    assert tables.flows_by_key[flow].backend_id == 'werkstatt-2'
    [chained] = sends_of(ToPeer, outbox)
    assert chained.message.backend_id == 'werkstatt-2'


def test_a_query_of_a_newer_view_ends_the_older_one():
    fleet = make_group()
    now = fleet.queue.now
    tables = fleet.balancers_by_id['b2']
    flow = flow_of(fleet, tables)
    epoch = tables.view.epoch
    outbox = []
    handle_record_query(tables, now, RecordQuery('b3', epoch + 1, flow), outbox)
    [reply] = outbox
    assert reply.message == RecordReply('b2', epoch + 1, flow)
    assert not is_lease_live(tables, now)
    chain = RecordChain(epoch, flow, 'werkstatt', 'werkstatt-1', ())
    outbox = []
    handle_peer_message(tables, now, chain, outbox)
    assert not outbox
    assert flow not in tables.flows_by_key


def test_a_query_of_an_older_view_gets_no_reply():
    fleet = make_group()
    tables = fleet.balancers_by_id['b2']
    flow = flow_of(fleet, tables)
    outbox = []
    query = RecordQuery('b3', tables.view.epoch - 1, flow)
    handle_record_query(tables, fleet.queue.now, query, outbox)
    assert not outbox
    assert tables.counters['', 'ask-declined'] == 1


def test_held_packets_are_limited_and_counted():
    fleet = make_group()
    now = fleet.queue.now
    tables = fleet.balancers_by_id['b2']
    flow = flow_of(fleet, tables)
    for _ in range(MAX_HELD_PER_FLOW + 1):
        handle_caller_packet(tables, now, Upload(flow, b''), [])
    assert tables.handover.held_packets == MAX_HELD_PER_FLOW
    assert tables.counters['', 'hold-flow-full'] == 1
    tables.handover.held_packets = MAX_HELD_PACKETS
    handle_caller_packet(tables, now, Upload(flow, b''), [])
    assert tables.counters['', 'hold-full'] == 1


def random_placement(rng, pool='werkstatt'):
    buckets = range(BUCKETS_PER_POOL)
    moving = frozenset(rng.sample(buckets, 40))
    return Placement(
        pool,
        tuple(rng.choice(('s1', 's2', 's3')) for _ in buckets),
        moving,
        frozenset(rng.sample(sorted(moving), 10)),
    )


def test_a_placement_update_applies_only_to_its_base_version():
    rng = random.Random(1)
    before = PlacementSet(4, {'werkstatt': random_placement(rng)})
    after = PlacementSet(
        5,
        {
            'werkstatt': random_placement(rng),
            'katalog': random_placement(rng, 'katalog'),
        },
    )
    assert apply_update(before, make_update(before, after)) == after
    assert apply_update(after, make_update(after, before)) == before
    # An update from the empty set is complete: it applies to any version.
    assert apply_update(before, make_update(EMPTY_PLACEMENTS, after)) == after
    assert apply_update(EMPTY_PLACEMENTS, make_update(before, after)) is None
