"""Tests stateless forwarding of packets by the token of their flow."""

from collections import Counter

import msgspec
import pytest

from mustardhold.systems.directory import final_report, merge_report, token_of
from mustardhold.systems.service_servers import index_ready_servers
from mustardhold.systems.startup_queue import hold_until_ready, pop_held_packets
from mustardhold.systems.suspicions import suspect_until
from mustardhold.systems.token_forwarding import (
    decide_packet,
    install_configuration,
    is_ready,
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
    FLOW_ADDRESSES,
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
    tables = ForwardingTables(last_feed_at=NOW)
    install_configuration(tables, configuration())
    for report in servers:
        merge_report(tables.directory, NOW, report)
    return tables


def opening_packet(port=1000, address=FEED, attempt=0):
    return CallerPacket(
        flow_of(port, address), address, 0, attempt, attempt, True, False
    )


def flow_of(port, address):
    return FLOW_ADDRESSES.pack(address.port, port, address.ip, 2)


def later_packet(token, address=FEED, *, is_reset=False):
    return CallerPacket(
        flow_of(1000, address), address, token, 77, 0, False, is_reset
    )


def chosen_servers(tables, packet):
    decision = decide_packet(tables, NOW, packet)
    assert isinstance(decision, Forward)
    return [known.report.server_id for known in decision.servers]


def test_all_balancers_choose_the_same_servers_in_any_report_order():
    servers = [server(number) for number in range(1, 8)]
    first, second = tables_of(*servers), tables_of(*reversed(servers))
    for port in range(200):
        assert chosen_servers(first, opening_packet(port)) == chosen_servers(
            second, opening_packet(port)
        )


def test_opening_goes_to_two_servers_and_its_copies_to_the_next():
    tables = tables_of(*(server(number) for number in range(1, 8)))
    choices = [
        chosen_servers(tables, opening_packet(attempt=attempt))
        for attempt in range(3)
    ]
    assert [len(set(names)) for names in choices] == [2, 2, 2]
    assert len({name for names in choices for name in names}) == 6


def test_only_the_set_share_of_first_openings_goes_to_two_servers():
    servers = [server(number) for number in range(1, 8)]
    usual, limited, other = (tables_of(*servers) for _ in range(3))
    limited.opening_hedge_share = other.opening_hedge_share = 0.3
    flows = 4_000
    for port in range(flows):
        packet = opening_packet(port)
        first = chosen_servers(limited, packet)
        assert first == chosen_servers(other, packet)
        assert first == chosen_servers(usual, packet)[: len(first)]
    hedged = limited.counters['feed', 'opening-hedged']
    assert hedged == pytest.approx(flows * 0.3, rel=0.1)
    assert usual.counters['feed', 'opening-hedged'] == flows


@pytest.mark.parametrize('share', [0, 1])
@pytest.mark.parametrize('count', [1, 2, 3])
def test_repeats_reach_every_server_of_a_small_service(share, count):
    tables = tables_of(*(server(number) for number in range(1, count + 1)))
    tables.opening_hedge_share = share
    choices = [
        chosen_servers(tables, opening_packet(attempt=attempt))
        for attempt in range(2)
    ]
    assert len(choices[0]) == min(1 + share, count)
    assert len({name for names in choices for name in names}) == count


def test_split_route_shares_its_flows_by_weight():
    tables = tables_of(server(1), server(2, service='orders'))
    targets = (WeightedService('feed', 90), WeightedService('orders', 10))
    install_configuration(tables, configuration(2, targets=targets))
    flows = 4_000
    services = Counter(
        decide_packet(tables, NOW, opening_packet(port)).service
        for port in range(flows)
    )
    assert services['orders'] == pytest.approx(flows / 10, rel=0.15)
    assert services.total() == flows


def test_single_server_gets_one_copy():
    assert chosen_servers(tables_of(server(1)), opening_packet(attempt=2)) == [
        'i-1'
    ]


def test_later_packets_follow_the_token():
    named = server(1)
    tables = tables_of(named, server(2))
    decision = decide_packet(tables, NOW, later_packet(token_of(named)))
    assert isinstance(decision, Forward)
    assert [known.report for known in decision.servers] == [named]


@pytest.mark.parametrize(
    'state', [ServerState.DRAINING, ServerState.ENDED], ids=str
)
def test_server_that_leaves_gets_no_new_flow(state):
    tables = tables_of(server(1), server(2, state=state))
    for port in range(50):
        assert chosen_servers(tables, opening_packet(port)) == ['i-1']


def test_draining_server_keeps_its_flows():
    draining = server(1, state=ServerState.DRAINING)
    tables = tables_of(draining)
    assert isinstance(
        decide_packet(tables, NOW, later_packet(token_of(draining))), Forward
    )


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
    assert decide_packet(tables, NOW, later_packet(token)) == Reset(
        DropCause.FLOW_ENDED
    )
    # A reset never answers a reset.
    decision_on_reset = decide_packet(
        tables, NOW, later_packet(token, is_reset=True)
    )
    assert decision_on_reset == Drop(DropCause.FLOW_ENDED)


def test_flow_that_a_restarted_server_may_hold_is_forwarded_to_it():
    # A balancer without the report of the restart opens flows at the new
    # incarnation with the token of the previous one.
    outdated, updated = tables_of(server(1)), tables_of(server(1))
    opened = decide_packet(outdated, NOW, opening_packet())
    restarted = server(1, incarnation=101, sequence=1, address='10.0.0.9:80')
    merge_report(updated.directory, NOW, restarted)
    assert isinstance(opened, Forward)
    decision = decide_packet(
        updated, NOW, later_packet(opened.servers[0].token)
    )
    assert isinstance(decision, Forward)
    assert [known.report for known in decision.servers] == [restarted]
    # The packet carries the token of the new incarnation, which both ends
    # return from then on.
    assert decision.servers[0].token == token_of(restarted)


def test_flow_of_a_silent_server_is_not_reset():
    tables = tables_of(server(1), server(2))
    tables.directory.silent_tokens = frozenset({token_of(server(1))})
    decision = decide_packet(tables, NOW, later_packet(token_of(server(1))))
    assert isinstance(decision, Forward)


def test_silent_server_gets_new_flows_only_without_alternatives():
    tables = tables_of(server(1), server(2))
    tables.directory.silent_tokens = frozenset({token_of(server(1))})
    assert chosen_servers(tables, opening_packet()) == ['i-2']
    alone = tables_of(server(1))
    alone.directory.silent_tokens = frozenset({token_of(server(1))})
    assert chosen_servers(alone, opening_packet()) == ['i-1']


@pytest.mark.parametrize(
    ('token', 'cause'),
    [(0, DropCause.NO_TOKEN), (123, DropCause.UNKNOWN_TOKEN)],
)
def test_packet_without_a_known_server_is_dropped(token, cause):
    assert decide_packet(
        tables_of(server(1)), NOW, later_packet(token)
    ) == Drop(cause)


def test_opening_without_a_route_is_reset_only_with_a_fresh_feed():
    tables = tables_of(server(1))
    refused = opening_packet(address=NOWHERE)
    assert decide_packet(tables, NOW, refused) == Reset(DropCause.NO_ROUTE)
    assert decide_packet(tables, NOW + 60, refused) == Drop(DropCause.NO_ROUTE)


def test_open_flow_ends_only_with_its_route():
    holder = server(1)
    tables = tables_of(holder)
    token = token_of(holder)
    # The route now points to another service; the open flow stays.
    moved = (WeightedService('orders', 1),)
    install_configuration(tables, configuration(2, targets=moved))
    assert isinstance(decide_packet(tables, NOW, later_packet(token)), Forward)
    install_configuration(tables, configuration(3, (ORDERS,)))
    assert decide_packet(tables, NOW, later_packet(token)) == Reset(
        DropCause.NO_ROUTE
    )
    never = later_packet(token, NOWHERE)
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
        chosen_servers(tables, opening_packet(port))[0]
        for port in range(1000, 5000)
    )
    assert counts['i-2'] / 4000 == pytest.approx(0.1, abs=0.02)


def test_opening_without_servers_is_dropped():
    tables = tables_of(server(1))
    decision = decide_packet(tables, NOW, opening_packet(address=ORDERS))
    assert decision == Drop(DropCause.NO_SERVER)


def test_ready_needs_a_configuration_and_servers():
    tables = ForwardingTables()
    assert not is_ready(tables)
    install_configuration(tables, configuration())
    assert not is_ready(tables)
    merge_report(tables.directory, NOW, server(1))
    assert is_ready(tables)
    tables.is_stopping = True
    assert not is_ready(tables)


def test_index_holds_each_ready_server_once():
    tables = tables_of(server(1), server(2), server(1, sequence=2))
    ready = index_ready_servers(tables)['feed']
    names = [known.report.server_id for known in ready]
    assert sorted(names) == ['i-1', 'i-2']


def servers_in_three_data_centres(count):
    """Make servers spread evenly over three data centres."""
    centres = ('dc-1', 'dc-2', 'dc-3')
    return [
        server(number, data_centre=centres[number % 3])
        for number in range(1, count + 1)
    ]


def test_first_choice_is_in_the_local_data_centre_and_the_second_anywhere():
    tables = tables_of(*servers_in_three_data_centres(9))
    tables.data_centre = 'dc-2'
    local_servers = {'i-1', 'i-4', 'i-7'}
    choices = [
        chosen_servers(tables, opening_packet(port)) for port in range(300)
    ]
    assert {first for first, _ in choices} == local_servers
    assert {second for _, second in choices} - local_servers


def refuse_openings(tables, ports, now=NOW):
    """Send openings that no packet follows, as after a refusal."""
    for port in ports:
        decide_packet(tables, now, opening_packet(port))


def test_a_server_that_refuses_openings_is_avoided_soon():
    refusing = server(1, data_centre='dc-1')
    tables = tables_of(refusing, server(2), server(3))
    tables.data_centre = 'dc-1'
    refuse_openings(tables, range(100))
    early_choices = [
        chosen_servers(tables, opening_packet(port)) for port in range(200, 230)
    ]
    assert any('i-1' in names for names in early_choices)
    later_on = NOW + 0.2
    # The other servers answer, so that only the refusing one stays avoided.
    for port in range(300, 310):
        decision = decide_packet(tables, later_on, opening_packet(port))
        known = next(
            chosen
            for chosen in decision.servers
            if chosen.report.server_id != 'i-1'
        )
        packet = later_packet(known.token)._replace(flow=flow_of(port, FEED))
        decide_packet(tables, later_on + 0.01, packet)
    for port in range(400, 430):
        decision = decide_packet(tables, later_on + 0.02, opening_packet(port))
        names = [chosen.report.server_id for chosen in decision.servers]
        assert 'i-1' not in names
        assert names


def test_copies_of_an_opening_reach_avoided_servers_as_well():
    tables = tables_of(server(1), server(2))
    refuse_openings(tables, range(10))
    now = NOW + 0.2
    decide_packet(tables, now, opening_packet(50))
    answered = tables.directory.servers_by_id['i-1'].token
    packet = later_packet(answered)._replace(flow=flow_of(50, FEED))
    decide_packet(tables, now + 0.01, packet)
    first = decide_packet(tables, now + 0.02, opening_packet(60))
    assert [known.token for known in first.servers] == [answered]
    copy = decide_packet(tables, now + 0.22, opening_packet(60, attempt=1))
    assert len(copy.servers) == 2


def test_answered_openings_count_as_no_failure():
    tables = tables_of(*(server(number) for number in range(1, 4)))
    for port in range(100):
        now = NOW + port * 0.01
        decision = decide_packet(tables, now, opening_packet(port))
        packet = later_packet(decision.servers[0].token)
        flow = flow_of(port, FEED)
        decide_packet(tables, now + 0.1, packet._replace(flow=flow))
    decide_packet(tables, NOW + 5, opening_packet(200))
    assert not tables.newly_avoided
    assert not tables.responsiveness_by_token


def test_an_opening_counts_as_one_failure_of_a_server():
    tables = tables_of(server(1))
    decide_packet(tables, NOW, opening_packet(1))
    decide_packet(tables, NOW + 0.15, opening_packet(2))
    decide_packet(tables, NOW + 0.2, opening_packet(1, attempt=1))
    [responsiveness] = tables.responsiveness_by_token.values()
    assert responsiveness.unanswered == 1


def test_servers_that_answer_no_opening_are_avoided_temporarily():
    tables = tables_of(*(server(number) for number in range(1, 5)))
    unresponsive = {'i-1', 'i-2'}
    for port in range(40):
        if unresponsive >= set(chosen_servers(tables, opening_packet(port))):
            chosen_servers(tables, opening_packet(port, attempt=1))
    for port in range(100, 160):
        assert not unresponsive & set(
            chosen_servers(tables, opening_packet(port))
        )
    after = decide_packet(tables, NOW + 4, opening_packet(999))
    chosen_later = {
        known.report.server_id
        for port in range(200, 240)
        for known in decide_packet(
            tables, NOW + 4, opening_packet(port)
        ).servers
    }
    assert isinstance(after, Forward)
    assert chosen_later & unresponsive


def test_an_answer_resets_the_failures_of_a_server():
    tables = tables_of(server(1), server(2))
    answering, unanswering = server(1), server(2)
    for port in range(2):
        decide_packet(tables, NOW, opening_packet(port))
        decide_packet(tables, NOW, opening_packet(port, attempt=1))
    assert len(tables.responsiveness_by_token) == 2
    decide_packet(tables, NOW, opening_packet(1000))
    decide_packet(tables, NOW, later_packet(token_of(answering)))
    assert set(tables.responsiveness_by_token) == {token_of(unanswering)}


def test_recent_openings_are_bounded(monkeypatch):
    monkeypatch.setattr(
        'mustardhold.systems.outlier_avoidance.MAX_RECENT_OPENINGS', 10
    )
    tables = tables_of(server(1))
    for port in range(100):
        decide_packet(tables, NOW, opening_packet(port))
    assert len(tables.openings_by_flow) == 10


RAW = b'held %d'


@pytest.mark.parametrize('missing', ['configuration', 'servers'])
def test_packets_before_the_first_tables_are_held(missing):
    tables = ForwardingTables()
    if missing == 'servers':
        install_configuration(tables, configuration())
    else:
        merge_report(tables.directory, NOW, server(1))
    assert decide_packet(tables, NOW, opening_packet()) == Hold()
    assert (
        decide_packet(tables, NOW, later_packet(token_of(server(1)))) == Hold()
    )


def test_held_packets_are_released_in_order_with_the_latest_copy_only():
    tables = ForwardingTables()
    hold_until_ready(tables, NOW, opening_packet(1), b'first')
    hold_until_ready(tables, NOW + 0.1, later_packet(7), b'data')
    hold_until_ready(tables, NOW + 0.2, opening_packet(1, attempt=1), b'copy')
    hold_until_ready(tables, NOW + 0.3, later_packet(7), b'data')
    hold_until_ready(tables, NOW + 0.4, opening_packet(2), b'other')
    assert pop_held_packets(tables, NOW + 0.5) == [b'copy', b'data', b'other']
    assert pop_held_packets(tables, NOW + 0.5) == []


def test_held_packets_are_bounded_in_number_and_age():
    tables = ForwardingTables()
    for number in range(MAX_HELD_AT_START + 3):
        hold_until_ready(tables, NOW, opening_packet(number), RAW % number)
    late = NOW + START_HOLD_TIMEOUT.total_seconds()
    hold_until_ready(tables, late, opening_packet(9_000), b'new')
    assert len(tables.held_by_key) == MAX_HELD_AT_START
    assert pop_held_packets(tables, late + 0.1) == [b'new']
    dropped = tables.counters['drop', DropCause.HELD_TOO_LONG]
    assert dropped == MAX_HELD_AT_START + 3


@pytest.mark.parametrize('heeds', [True, False])
def test_suspect_server_gets_flows_while_there_are_others(heeds):
    tables = tables_of(*(server(number) for number in range(1, 5)))
    tables.data_centre = 'dc-1'
    tables.avoids_suspects = heeds
    tokens = list(tables.directory.servers_by_token)
    suspicions = tables.directory.suspicions
    suspect_until(suspicions, NOW - 1, tokens[0], NOW + 1)
    suspect_until(suspicions, NOW - 1, tokens[1], NOW)
    asked = Counter()
    for port in range(100):
        asked.update(chosen_servers(tables, opening_packet(port)))
    assert ('i-1' in asked) != heeds
    assert {'i-2', 'i-3', 'i-4'} <= set(asked)
    for token in tokens:
        suspect_until(suspicions, NOW - 1, token, NOW + 5)
    assert chosen_servers(tables, opening_packet(1))


def test_a_data_centre_with_few_servers_gets_its_share_only():
    centres = ('dc-1', 'dc-2', 'dc-2', 'dc-3', 'dc-3', 'dc-4', 'dc-4')
    servers = [
        server(number, data_centre=centre)
        for number, centre in enumerate(centres, start=1)
    ]
    first = Counter()
    for local_centre in ('dc-1', 'dc-2', 'dc-3', 'dc-4'):
        tables = tables_of(*servers)
        tables.data_centre = local_centre
        first.update(
            chosen_servers(tables, opening_packet(port))[0]
            for port in range(1_000)
        )
    mean = sum(first.values()) / len(servers)
    # dc-1 has one of seven servers and a quarter of the callers: without the
    # limit to a fair share, its server got 1.75 times the mean.
    assert max(first.values()) < 1.25 * mean
    assert min(first.values()) > 0.8 * mean


def test_local_servers_come_first_within_their_fair_share():
    servers = [
        server(number, data_centre=f'dc-{number % 2}') for number in range(1, 7)
    ]
    tables = tables_of(*servers)
    tables.data_centre = 'dc-1'
    local_servers = {'i-1', 'i-3', 'i-5'}
    assert {
        chosen_servers(tables, opening_packet(port))[0] for port in range(300)
    } == local_servers
