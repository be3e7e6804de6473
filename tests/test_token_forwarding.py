"""Packets by their flow's token, with no state for a flow."""

from collections import Counter
from datetime import timedelta

import msgspec
import pytest

from mustardhold.systems.directory import final_report, merge_report, token_of
from mustardhold.systems.startup_queue import hold_until_ready, pop_held_packets
from mustardhold.systems.token_forwarding import (
    decide_packet,
    install_configuration,
    is_ready,
    servers_of,
)
from mustardhold.tables.configurations import (
    Configuration,
    RequestKind,
    ServiceAddress,
    ServiceRoute,
    WeightedService,
)
from mustardhold.tables.constants import MAX_HELD_AT_START, START_HOLD_TIMEOUT
from mustardhold.tables.directory import ServerReport, ServerState
from mustardhold.tables.forwarding import (
    FLOW,
    CallerPacket,
    Drop,
    DropCause,
    Forward,
    ForwardingTables,
    Hold,
    Reset,
)

FEED, ORDERS, NOWHERE = (ServiceAddress(1, port) for port in (443, 8080, 9))
NOW = 10.0


def server(number, service='feed', state=ServerState.READY, **changes):
    base = ServerReport(
        f'i-{number:x}',
        100,
        1,
        service,
        f'10.0.0.{number}:80',
        'dc-1',
        2,
        state,
    )
    return msgspec.structs.replace(base, **changes)


def configuration(version=1, addresses=(FEED, ORDERS), targets=None):
    services = {FEED: 'feed', ORDERS: 'orders'}
    routes = {
        address: ServiceRoute(
            services[address],
            address,
            RequestKind.SAFE,
            targets or (WeightedService(services[address], 1),),
        )
        for address in addresses
    }
    return Configuration(version, routes)


def tables_of(*servers):
    tables = ForwardingTables(timedelta(seconds=1), last_feed_at=NOW)
    install_configuration(tables, configuration())
    for one in servers:
        merge_report(tables.directory, NOW, one)
    return tables


def opening(port=1000, address=FEED, attempt=0):
    return CallerPacket(
        flow_of(port, address), address, 0, attempt, attempt, True, False
    )


def flow_of(port, address):
    return FLOW.pack(address.port, port, address.ip, 2)


def later(token, address=FEED, *, is_reset=False):
    return CallerPacket(
        flow_of(1000, address), address, token, 77, 0, False, is_reset
    )


def chosen(tables, packet):
    decision = decide_packet(tables, NOW, packet)
    assert isinstance(decision, Forward)
    return [known.report.server_id for known in decision.servers]


def test_all_balancers_choose_alike_whatever_they_heard_first():
    servers = [server(number) for number in range(1, 8)]
    one, two = tables_of(*servers), tables_of(*reversed(servers))
    for port in range(200):
        assert chosen(one, opening(port)) == chosen(two, opening(port))


def test_opening_goes_to_two_servers_and_its_copies_to_the_next():
    tables = tables_of(*(server(number) for number in range(1, 8)))
    tries = [chosen(tables, opening(attempt=attempt)) for attempt in range(3)]
    assert [len(set(one)) for one in tries] == [2, 2, 2]
    assert len({name for one in tries for name in one}) == 6


def test_lone_server_gets_one_copy():
    assert chosen(tables_of(server(1)), opening(attempt=2)) == ['i-1']


def test_later_packets_follow_the_token():
    one = server(1)
    tables = tables_of(one, server(2))
    decision = decide_packet(tables, NOW, later(token_of(one)))
    assert isinstance(decision, Forward)
    assert [known.report for known in decision.servers] == [one]


@pytest.mark.parametrize(
    'state', [ServerState.DRAINING, ServerState.ENDED], ids=str
)
def test_server_that_leaves_gets_no_new_flow(state):
    tables = tables_of(server(1), server(2, state=state))
    for port in range(50):
        assert chosen(tables, opening(port)) == ['i-1']


def test_draining_server_keeps_its_flows():
    one = server(1, state=ServerState.DRAINING)
    tables = tables_of(one)
    assert isinstance(decide_packet(tables, NOW, later(token_of(one))), Forward)


@pytest.mark.parametrize(
    'successor',
    [
        server(2, 'orders', incarnation=200, address='10.0.0.1:80'),
        final_report(server(1)),
        final_report(server(1, incarnation=101)),
    ],
    ids=['address-reused', 'left', 'restarted-and-left'],
)
def test_flow_of_a_server_that_certainly_ended_is_reset(successor):
    tables = tables_of(server(1), successor)
    token = token_of(server(1))
    assert decide_packet(tables, NOW, later(token)) == Reset(
        DropCause.FLOW_ENDED
    )
    # A reset never answers a reset.
    gone = decide_packet(tables, NOW, later(token, is_reset=True))
    assert gone == Drop(DropCause.FLOW_ENDED)


def test_flow_that_a_restarted_server_may_hold_is_passed_on_to_it():
    # A balancer that has not heard of the restart opens flows at the new
    # incarnation with the token of the earlier one.
    stale, fed = tables_of(server(1)), tables_of(server(1))
    opened = decide_packet(stale, NOW, opening())
    again = server(1, incarnation=101, sequence=1, address='10.0.0.9:80')
    merge_report(fed.directory, NOW, again)
    assert isinstance(opened, Forward)
    decision = decide_packet(fed, NOW, later(opened.servers[0].token))
    assert isinstance(decision, Forward)
    assert [known.report for known in decision.servers] == [again]
    # The packet brings the caller the token of the incarnation that has it.
    assert decision.servers[0].token == token_of(again)


def test_flow_of_a_silent_server_is_not_reset():
    tables = tables_of(server(1), server(2))
    tables.last_feed_at = NOW + 60
    decision = decide_packet(tables, NOW + 60, later(token_of(server(1))))
    assert isinstance(decision, Forward)


def test_silent_server_gets_new_flows_only_where_no_other_can():
    tables = tables_of(server(1))
    merge_report(tables.directory, NOW + 5, server(2))
    tables.last_feed_at = NOW + 5
    decision = decide_packet(tables, NOW + 5, opening())
    assert isinstance(decision, Forward)
    names = [known.report.server_id for known in decision.servers]
    assert names == ['i-2']
    alone = tables_of(server(1))
    alone.last_feed_at = NOW + 5
    assert isinstance(decide_packet(alone, NOW + 5, opening()), Forward)


def test_without_control_no_server_counts_as_silent():
    tables = tables_of(server(1), server(2))
    decision = decide_packet(tables, NOW + 60, opening())
    assert isinstance(decision, Forward)
    assert len(decision.servers) == 2


@pytest.mark.parametrize(
    ('token', 'cause'),
    [(0, DropCause.NO_TOKEN), (123, DropCause.UNKNOWN_TOKEN)],
)
def test_packet_without_a_known_server_is_dropped(token, cause):
    assert decide_packet(tables_of(server(1)), NOW, later(token)) == Drop(cause)


def test_opening_to_no_route_is_reset_only_by_a_balancer_that_is_fed():
    tables = tables_of(server(1))
    refused = opening(address=NOWHERE)
    assert decide_packet(tables, NOW, refused) == Reset(DropCause.NO_ROUTE)
    assert decide_packet(tables, NOW + 60, refused) == Drop(DropCause.NO_ROUTE)


def test_open_flow_ends_only_with_its_route():
    one = server(1)
    tables = tables_of(one)
    token = token_of(one)
    # The route now leads elsewhere; the open flow stays.
    moved = (WeightedService('orders', 1),)
    install_configuration(tables, configuration(2, targets=moved))
    assert isinstance(decide_packet(tables, NOW, later(token)), Forward)
    install_configuration(tables, configuration(3, (ORDERS,)))
    assert decide_packet(tables, NOW, later(token)) == Reset(DropCause.NO_ROUTE)
    never = later(token, NOWHERE)
    assert decide_packet(tables, NOW, never) == Drop(DropCause.NO_ROUTE)


def test_older_configuration_changes_nothing():
    tables = tables_of(server(1))
    assert install_configuration(tables, configuration(5))
    assert not install_configuration(tables, configuration(5, (FEED,)))
    assert not install_configuration(tables, configuration(4, (FEED,)))
    assert tables.configuration == configuration(5)


def test_split_follows_its_weights():
    tables = tables_of(server(1), server(2, 'orders'))
    targets = (WeightedService('feed', 90), WeightedService('orders', 10))
    install_configuration(tables, configuration(2, targets=targets))
    counts = Counter(
        chosen(tables, opening(port))[0] for port in range(1000, 5000)
    )
    assert counts['i-2'] / 4000 == pytest.approx(0.1, abs=0.02)


def test_route_without_servers_stays_silent():
    tables = tables_of(server(1))
    answer = decide_packet(tables, NOW, opening(address=ORDERS))
    assert answer == Drop(DropCause.NO_SERVER)


def test_ready_needs_a_configuration_and_servers():
    tables = ForwardingTables(timedelta(seconds=1))
    assert not is_ready(tables)
    install_configuration(tables, configuration())
    assert not is_ready(tables)
    merge_report(tables.directory, NOW, server(1))
    assert is_ready(tables)
    tables.is_stopping = True
    assert not is_ready(tables)


def test_index_holds_each_ready_server_once():
    tables = tables_of(server(1), server(2), server(1, sequence=2))
    names = [one.report.server_id for one in servers_of(tables, 'feed')]
    assert sorted(names) == ['i-1', 'i-2']


def near_and_far(count):
    """Make servers of which one in three is in the own data centre."""
    centres = ('dc-1', 'dc-2', 'dc-3')
    return [
        server(number, data_centre=centres[number % 3])
        for number in range(1, count + 1)
    ]


def test_first_choice_is_in_the_own_data_centre_and_the_second_anywhere():
    tables = tables_of(*near_and_far(9))
    tables.data_centre = 'dc-2'
    near = {'i-1', 'i-4', 'i-7'}
    tries = [chosen(tables, opening(port)) for port in range(300)]
    assert {first for first, _ in tries} == near
    assert {second for _, second in tries} - near


def refuse_openings(tables, ports, now=NOW):
    """Let openings be followed by nothing, as after a refusal."""
    for port in ports:
        decide_packet(tables, now, opening(port))


def test_a_server_that_refuses_openings_is_avoided_soon():
    near = server(1, data_centre='dc-1')
    tables = tables_of(near, server(2), server(3))
    tables.data_centre = 'dc-1'
    refuse_openings(tables, range(100))
    down = [chosen(tables, opening(port)) for port in range(200, 230)]
    assert any('i-1' in names for names in down)
    later_on = NOW + 0.2
    # The others answer what they get, so only the one that refuses is left.
    for port in range(300, 310):
        decision = decide_packet(tables, later_on, opening(port))
        known = next(
            one for one in decision.servers if one.report.server_id != 'i-1'
        )
        packet = later(known.token)._replace(flow=flow_of(port, FEED))
        decide_packet(tables, later_on + 0.01, packet)
    for port in range(400, 430):
        decision = decide_packet(tables, later_on + 0.02, opening(port))
        names = [one.report.server_id for one in decision.servers]
        assert 'i-1' not in names
        assert names


def test_copies_of_an_opening_reach_avoided_servers_as_well():
    tables = tables_of(server(1), server(2))
    refuse_openings(tables, range(10))
    now = NOW + 0.2
    decide_packet(tables, now, opening(50))
    answered = tables.directory.servers_by_id['i-1'].token
    packet = later(answered)._replace(flow=flow_of(50, FEED))
    decide_packet(tables, now + 0.01, packet)
    first = decide_packet(tables, now + 0.02, opening(60))
    assert [one.token for one in first.servers] == [answered]
    copy = decide_packet(tables, now + 0.22, opening(60, attempt=1))
    assert len(copy.servers) == 2


def test_openings_that_are_answered_are_held_against_nobody():
    tables = tables_of(*(server(number) for number in range(1, 4)))
    for port in range(100):
        now = NOW + port * 0.01
        decision = decide_packet(tables, now, opening(port))
        packet = later(decision.servers[0].token)
        flow = flow_of(port, FEED)
        decide_packet(tables, now + 0.1, packet._replace(flow=flow))
    decide_packet(tables, NOW + 5, opening(200))
    assert not tables.newly_avoided
    assert not tables.responsiveness_by_token


def test_an_opening_is_held_against_a_server_once_only():
    tables = tables_of(server(1))
    decide_packet(tables, NOW, opening(1))
    decide_packet(tables, NOW + 0.15, opening(2))
    decide_packet(tables, NOW + 0.2, opening(1, attempt=1))
    [answering] = tables.responsiveness_by_token.values()
    assert answering.unanswered == 1


def test_servers_that_answer_no_opening_are_avoided_for_a_while():
    tables = tables_of(*(server(number) for number in range(1, 5)))
    dark = {'i-1', 'i-2'}
    for port in range(40):
        if dark >= set(chosen(tables, opening(port))):
            chosen(tables, opening(port, attempt=1))
    for port in range(100, 160):
        assert not dark & set(chosen(tables, opening(port)))
    after = decide_packet(tables, NOW + 4, opening(999))
    again = {
        known.report.server_id
        for port in range(200, 240)
        for known in decide_packet(tables, NOW + 4, opening(port)).servers
    }
    assert isinstance(after, Forward)
    assert again & dark


def test_an_answer_clears_a_server():
    tables = tables_of(server(1), server(2))
    one, two = server(1), server(2)
    for port in range(2):
        decide_packet(tables, NOW, opening(port))
        decide_packet(tables, NOW, opening(port, attempt=1))
    assert len(tables.responsiveness_by_token) == 2
    decide_packet(tables, NOW, opening(1000))
    decide_packet(tables, NOW, later(token_of(one)))
    assert set(tables.responsiveness_by_token) == {token_of(two)}


def test_recent_openings_are_bounded(monkeypatch):
    monkeypatch.setattr(
        'mustardhold.systems.outlier_avoidance.MAX_RECENT_OPENINGS', 10
    )
    tables = tables_of(server(1))
    for port in range(100):
        decide_packet(tables, NOW, opening(port))
    assert len(tables.openings_by_flow) == 10


RAW = b'held %d'


@pytest.mark.parametrize('lacks', ['configuration', 'servers'])
def test_packets_before_the_first_tables_are_held(lacks):
    tables = ForwardingTables(timedelta(seconds=1))
    if lacks == 'servers':
        install_configuration(tables, configuration())
    else:
        merge_report(tables.directory, NOW, server(1))
    assert decide_packet(tables, NOW, opening()) == Hold()
    assert decide_packet(tables, NOW, later(token_of(server(1)))) == Hold()


def test_held_packets_come_back_in_order_with_the_latest_copy_only():
    tables = ForwardingTables(timedelta(seconds=1))
    hold_until_ready(tables, NOW, opening(1), b'first')
    hold_until_ready(tables, NOW + 0.1, later(7), b'data')
    hold_until_ready(tables, NOW + 0.2, opening(1, attempt=1), b'copy')
    hold_until_ready(tables, NOW + 0.3, later(7), b'data')
    hold_until_ready(tables, NOW + 0.4, opening(2), b'other')
    assert pop_held_packets(tables, NOW + 0.5) == [b'copy', b'data', b'other']
    assert pop_held_packets(tables, NOW + 0.5) == []


def test_held_packets_are_bounded_in_number_and_age():
    tables = ForwardingTables(timedelta(seconds=1))
    for number in range(MAX_HELD_AT_START + 3):
        hold_until_ready(tables, NOW, opening(number), RAW % number)
    late = NOW + START_HOLD_TIMEOUT.total_seconds()
    hold_until_ready(tables, late, opening(9_000), b'new')
    assert len(tables.held_by_key) == MAX_HELD_AT_START
    assert pop_held_packets(tables, late + 0.1) == [b'new']
    dropped = tables.counters['drop', DropCause.HELD_TOO_LONG]
    assert dropped == MAX_HELD_AT_START + 3


def test_a_data_centre_with_few_servers_gets_its_share_only():
    centres = ('dc-1', 'dc-2', 'dc-2', 'dc-3', 'dc-3', 'dc-4', 'dc-4')
    servers = [
        server(number, data_centre=centre)
        for number, centre in enumerate(centres, start=1)
    ]
    first = Counter()
    for own in ('dc-1', 'dc-2', 'dc-3', 'dc-4'):
        tables = tables_of(*servers)
        tables.data_centre = own
        first.update(chosen(tables, opening(port))[0] for port in range(1_000))
    mean = sum(first.values()) / len(servers)
    # One server of seven, with a quarter of the callers: 1.75 before.
    assert max(first.values()) < 1.25 * mean
    assert min(first.values()) > 0.8 * mean


def test_near_servers_come_first_where_they_bear_it():
    servers = [
        server(number, data_centre=f'dc-{number % 2}') for number in range(1, 7)
    ]
    tables = tables_of(*servers)
    tables.data_centre = 'dc-1'
    near = {'i-1', 'i-3', 'i-5'}
    assert {chosen(tables, opening(port))[0] for port in range(300)} == near
