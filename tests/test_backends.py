"""Announcements, digests, health and slow start of backend servers."""

import msgspec
import pytest

from mustardhold.systems.announcements import handle_announcement
from mustardhold.systems.digests import handle_digest, tick_backends
from mustardhold.systems.health import mark_responsive
from mustardhold.systems.peers import handle_peer_message
from mustardhold.systems.routing import install_table
from mustardhold.systems.server_selection import choose_server
from mustardhold.tables.backends import BackendServer, BackendState
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import BACKEND_RETENTION
from mustardhold.tables.flows import FlowRecord
from mustardhold.tables.packets import Opened
from mustardhold.tables.peers import BackendAnnouncement, BackendDigest
from mustardhold.tables.routing import Pool, RoutingTable
from mustardhold.tables.views import Member, View

POOL = Pool('werkstatt')


def make_tables(name: str = 'b1', members: int = 1) -> BalancerTables:
    names = [f'b{number}' for number in range(1, members + 1)]
    view = View(1, {one: Member(one, 'dc', '127.0.0.1:1') for one in names})
    tables = BalancerTables(name, 'dc', view)
    install_table(tables, RoutingTable(1, {}, {POOL.name: POOL}, {}))
    return tables


def server(number: int = 1, sequence: int = 1, **changes) -> BackendServer:
    announced = BackendServer(
        f's{number}',
        'werkstatt',
        'dc',
        '127.0.0.1:9',
        2,
        2000,
        0,
        0,
        BackendState.READY,
        1,
        sequence,
    )
    return msgspec.structs.replace(announced, **changes)


def announce(tables, now, *announced):
    outbox = []
    for one in announced:
        handle_announcement(tables, now, one, outbox)
    return outbox


def tick(tables, now):
    outbox = []
    tick_backends(tables, now, outbox)
    return [send.message for send in outbox]


def chosen_ids(tables, count=200):
    chosen = [
        choose_server(tables, POOL, number.to_bytes(12, 'big'))
        for number in range(count)
    ]
    return {one.announced.backend_id for one in chosen if one is not None}


@pytest.mark.parametrize(
    ('incarnation', 'sequence', 'is_stored'),
    [(1, 5, False), (1, 4, False), (0, 9, False), (1, 6, True), (2, 1, True)],
)
def test_only_newer_announcements_are_stored(incarnation, sequence, is_stored):
    tables = make_tables()
    announce(tables, 0, server(sequence=5, connections=7))
    later = server(sequence=sequence, incarnation=incarnation, connections=100)
    announce(tables, 0.1, later)
    known = tables.backends_by_id['s1'].announced
    assert (known.connections == 100) is is_stored


def test_server_that_lost_its_counter_is_accepted_after_a_silence():
    tables = make_tables()
    announce(tables, 0, server(incarnation=9, sequence=9))
    announce(tables, 2, server(connections=5))
    assert tables.backends_by_id['s1'].announced.incarnation == 9
    announce(tables, 3.5, server(connections=5))
    assert tables.backends_by_id['s1'].announced.connections == 5


def test_only_changes_of_state_are_shared_immediately():
    tables = make_tables(members=3)
    assert len(announce(tables, 0, server())) == 2
    assert announce(tables, 0.5, server(sequence=2, connections=9)) == []
    draining = server(sequence=3, state=BackendState.DRAINING)
    shared = announce(tables, 1, draining)
    assert [send.message for send in shared] == [
        BackendAnnouncement(draining)
    ] * 2


def test_digest_repairs_a_lost_announcement():
    first, second = make_tables('b1', 2), make_tables('b2', 2)
    announce(first, 0, server(connections=3))
    [digest] = tick(first, 0.5)
    queries = []
    handle_digest(second, 0.5, digest, queries)
    replies = []
    handle_peer_message(first, 0.6, queries[0].message, replies)
    [reply] = replies
    assert reply.instance_id == 'b2'
    handle_peer_message(second, 0.7, reply.message, [])
    assert second.backends_by_id['s1'].announced.connections == 3


def test_digest_carries_a_drain_whose_announcement_was_lost():
    first, second = make_tables('b1', 2), make_tables('b2', 2)
    for tables in (first, second):
        announce(tables, 0, server())
    announce(first, 1, server(sequence=2, state=BackendState.DRAINING))
    [digest] = tick(first, 1.1)
    handle_digest(second, 1.2, digest, [])
    known = second.backends_by_id['s1'].announced
    assert known.state is BackendState.DRAINING


def test_unresponsive_server_gets_no_flow_and_is_retained_while_recorded():
    tables = make_tables()
    tables.flows_by_key[b'f'] = FlowRecord('werkstatt', 's1', is_primary=True)
    announce(tables, 0, server(1), server(2))
    retention = BACKEND_RETENTION.total_seconds()
    for now in (3.5, retention + 1):
        announce(tables, now, server(2, int(now) + 1))
        tick(tables, now)
        assert chosen_ids(tables) == {'s2'}
        assert 's1' in tables.backends_by_id
    tables.flows_by_key.clear()
    now = 2 * retention
    announce(tables, now, server(2, int(now)))
    tick(tables, now)
    assert 's1' not in tables.backends_by_id


def test_balancer_without_any_announcements_retains_the_last_known_servers():
    tables = make_tables()
    announce(tables, 0, server(1), server(2))
    tick(tables, 60)
    assert chosen_ids(tables) == {'s1', 's2'}
    assert tables.counters['werkstatt', 'silence-suspected-here']


def test_at_most_half_of_a_pool_is_unresponsive_until_confirmed():
    tables = make_tables()
    announce(tables, 0, *(server(number) for number in range(1, 5)))
    announce(tables, 3, server(4, 2))
    tick(tables, 3.5)
    unresponsive = [
        known.is_unresponsive for known in tables.backends_by_id.values()
    ]
    assert sum(unresponsive) == 2
    announce(tables, 11, server(4, 3))
    tick(tables, 11)
    assert chosen_ids(tables) == {'s4'}


def test_unanswered_openings_eject_at_most_half_of_a_pool():
    tables = make_tables()
    announce(tables, 0, *(server(number) for number in range(1, 5)))
    for known in tables.backends_by_id.values():
        known.unanswered_opens = 100
    tick(tables, 0.1)
    assert len(chosen_ids(tables)) == 2
    for backend_id in ('s1', 's2', 's3', 's4'):
        mark_responsive(tables, Opened(b'f' * 12, backend_id))
    tick(tables, 0.2)
    assert len(chosen_ids(tables)) == 4


def test_server_starts_slowly_after_a_cold_start():
    tables = make_tables()
    announce(tables, 0, server(1, connections=900))
    announce(tables, 0, server(2, state=BackendState.STARTING))
    assert chosen_ids(tables) == {'s1'}
    announce(tables, 1, server(2, 2), server(1, 2, connections=900))
    shares = []
    for now in (1.1, 6, 11.1):
        tick(tables, now)
        shares.append(tables.backends_by_id['s2'].open_share)
    assert shares[0] < 0.1 < shares[1] < shares[2] == 1


def test_local_data_centre_is_preferred_until_it_is_full():
    tables = make_tables()
    announce(tables, 0, server(1, connections=1900))
    announce(tables, 0, server(2, data_centre='far'))
    assert chosen_ids(tables) == {'s1'}
    announce(tables, 0.5, server(1, 2, connections=2000))
    assert chosen_ids(tables) == {'s2'}


def test_flows_held_by_other_balancers_correct_a_report_that_is_too_low():
    tables = make_tables(members=2)
    announce(tables, 0, server(1), server(2))
    digest = BackendDigest('b2', (), {'s1': 1999})
    handle_digest(tables, 0, digest, [])
    tick(tables, 0.1)
    assert chosen_ids(tables) == {'s2'}
