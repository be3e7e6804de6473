"""Tests the choice of servers by requests in flight, and their counting."""

import logging
from collections import Counter
from datetime import UTC, datetime, timedelta

import msgspec
import pytest

from mustardhold.commands.trace import format_line
from mustardhold.daemons.decision_logs import log_decision
from mustardhold.platform.settings import (
    BindAddresses,
    NodeSettings,
    read_balancer_options,
)
from mustardhold.systems.answer_tracking import check_due
from mustardhold.systems.directory import merge_report
from mustardhold.systems.forwarding_setup import make_tables
from mustardhold.systems.server_choice import is_within_local_share
from mustardhold.systems.server_load import (
    begin_in_flight,
    count_opening,
    end_in_flight,
    expire_load,
    make_load_gauges,
)
from mustardhold.systems.service_servers import servers_of
from mustardhold.systems.suspicions import suspect_until
from mustardhold.systems.token_forwarding import (
    decide_packet,
    install_configuration,
)
from mustardhold.systems.tracing import LogLine
from mustardhold.tables.configurations import (
    Configuration,
    RequestKind,
    ServiceAddress,
    ServiceRoute,
    WeightedService,
)
from mustardhold.tables.directory import ServerReport, ServerState
from mustardhold.tables.forwarding import (
    FLOW_ADDRESSES,
    CallerPacket,
    Forward,
    ForwardingTables,
)
from mustardhold.tables.server_load import (
    MAX_LOADED_SERVERS,
    MAX_REQUEST_ENDS,
    OpeningKey,
    ServerLoad,
)

ADDRESS = ServiceAddress(1, 443)
NOW = 10.0
CENTRES = ('dc-1', 'dc-2', 'dc-3')


def tables_of(
    count=60, name='b-1', *, is_on=True, centres=CENTRES, **route_changes
):
    """Make tables with servers of 2 slots, a third in the local centre."""
    tables = ForwardingTables('dc-1', last_feed_at=NOW, name=name)
    tables.answers.load = ServerLoad() if is_on else None
    route = ServiceRoute(
        'lookups',
        ADDRESS,
        RequestKind.SAFE,
        (WeightedService('shop', 1),),
        target_latency=timedelta(milliseconds=500),
        timeout=timedelta(milliseconds=2_500),
    )
    changed = msgspec.structs.replace(route, **route_changes)
    install_configuration(tables, Configuration(1, {ADDRESS: changed}))
    for number in range(count):
        report = ServerReport(
            f'i-{number}',
            100,
            1,
            'shop',
            f'10.0.0.{number}:80',
            centres[number % len(centres)],
            2,
            ServerState.READY,
        )
        merge_report(tables.directory, NOW, report)
    return tables


def packet_of(port=1, attempt=0, **changes):
    flow = FLOW_ADDRESSES.pack(ADDRESS.port, port, ADDRESS.ip, 2)
    packet = CallerPacket(flow, ADDRESS, 0, 0, attempt, True, False)
    return packet._replace(**changes)


def open_flow(tables, port=1, now=NOW, attempt=0):
    """Return the tokens that an opening is sent to."""
    decision = decide_packet(tables, now, packet_of(port, attempt))
    assert isinstance(decision, Forward)
    return [one.token for one in decision.servers]


def send(tables, token, now=NOW, port=1, **changes):
    decide_packet(
        tables, now, packet_of(port, token=token, is_opening=False, **changes)
    )


def subset_of(tables):
    preferred = servers_of(tables, NOW, 'shop').preferred
    return [member.server.token for member in preferred.local]


def keep_busy(tables, tokens, requests=1, now=NOW):
    for token in tokens:
        for number in range(requests):
            flow = b'busy %d %d' % (token, number)
            begin_in_flight(tables.answers.load, now, flow, token, 3)


def assert_idle(load):
    assert not load.requests_by_flow
    assert not load.requests_by_token


def test_openings_leave_the_subset_or_its_idle_servers_are_passed_over():
    for port in range(20):
        tables = tables_of()
        subset = subset_of(tables)
        assert len(subset) == 6
        keep_busy(tables, subset[2:])
        assert set(open_flow(tables, port)) == set(subset[:2])
        assert tables.counters['shop', 'opened-preferred'] == 1


def test_balancers_prefer_the_same_servers_and_leave_others_unused():
    counts = Counter()
    for number in range(82):
        counts.update(subset_of(tables_of(name=f'b-{number}')))
    assert len(counts) == 20
    # Five standard deviations of a fair draw around 82 x 6 / 20.
    assert max(counts.values()) < 50


@pytest.mark.parametrize(('balancers', 'count'), [(27, 60), (6, 45)])
def test_servers_preferred_by_many_balancers_get_more_in_the_long_run(
    balancers, count
):
    counts = Counter()
    for number in range(balancers):
        tables = tables_of(count, f'b-{number}')
        for second in range(60):
            preferred = servers_of(tables, NOW + second, 'shop').preferred
            counts.update(one.server.token for one in preferred.local)
    assert max(counts.values()) <= 1.25 * counts.total() / len(counts)
    assert len(counts) == count // 3


@pytest.mark.parametrize(
    ('requests', 'outcome'), [(1, 'opened-overflow'), (2, 'opened-remote')]
)
def test_loaded_subset_gets_openings_while_others_are_idle(requests, outcome):
    tables = tables_of()
    local = servers_of(tables, NOW, 'shop').local_tokens
    keep_busy(tables, subset_of(tables) if requests == 1 else local, requests)
    chosen = open_flow(tables)
    assert not set(chosen) & set(subset_of(tables))
    assert (set(chosen) <= local) is (requests == 1)
    assert tables.counters['shop', outcome] == 1


def test_avoided_subset_ends_the_choice_or_is_used():
    tables = tables_of()
    prepared = servers_of(tables, NOW, 'shop')
    # The avoided servers make the local share smaller.
    beyond = {one.server.token for one in prepared.preferred.everywhere}
    suspicions = tables.directory.suspicions
    for token in subset_of(tables):
        suspect_until(suspicions, NOW - 1, token, NOW + 9)
    for port in range(20):
        chosen = set(open_flow(tables, port))
        assert len(chosen) == 2
        assert not chosen & set(subset_of(tables))
        assert chosen <= prepared.local_tokens or chosen <= beyond
    for token in tables.directory.servers_by_token:
        suspect_until(suspicions, NOW - 1, token, NOW + 9)
    assert len(open_flow(tables, 99)) == 2


@pytest.mark.parametrize('state', ['off', 'no-target-latency'])
def test_choice_changes_although_it_is_turned_off(state):
    changes = {'target_latency': timedelta()} if state != 'off' else {}
    off = tables_of(is_on=False, **changes)
    tables = tables_of(is_on=state != 'off', **changes)
    tables.name = 'another'
    for port in range(200):
        for attempt in range(3):
            at = NOW + port / 50 + attempt / 5
            chosen = open_flow(tables, port, at, attempt)
            assert chosen == open_flow(off, port, at, attempt)
    assert not any('opened-' in outcome for _, outcome in tables.counters)


def test_duplicates_go_elsewhere_or_repeats_go_to_the_same_servers():
    tables = tables_of()
    first = open_flow(tables)
    keep_busy(tables, first)
    assert open_flow(tables, now=NOW + 0.05) == first
    assert sum(tables.answers.load.openings_by_token.values()) == 2
    second = open_flow(tables, now=NOW + 0.2, attempt=1)
    assert open_flow(tables, now=NOW + 0.25, attempt=1) in (
        second,
        second[::-1],
    )
    third = open_flow(tables, now=NOW + 0.6, attempt=2)
    assert not set(second) & {*first, *third}


def test_only_wanted_server_is_not_the_least_loaded():
    tables = tables_of()
    tables.opening_hedge_share = 0
    subset = subset_of(tables)
    keep_busy(tables, subset[2:])
    count_opening(tables.answers.load, NOW, OpeningKey(b'', 0), (subset[1],))
    assert open_flow(tables) == subset[:1]


ENDS = {
    'answer': {'acknowledged': 9},
    'closed': {'is_closing': True},
    'reset': {'is_reset': True},
}


def end_by(tables, token, how):
    """End the request of flow 1, which began at ``NOW``."""
    if how in ENDS:
        send(tables, token, NOW + 0.1, **ENDS[how])
    elif how == 'evicted':
        for port in (2, 3):
            send(tables, token, NOW + 0.1, port, length=50)
            send(tables, token, NOW + 0.1, port, acknowledged=9)
    elif how == 'suspended':
        check_due(tables.answers, NOW)
        check_due(tables.answers, NOW + 2)
    else:
        if how == 'server-gone':
            tables.directory.servers_by_token.pop(token)
        expire_load(tables.answers.load, NOW + 2.5)


@pytest.mark.parametrize(
    'how', [*ENDS, 'evicted', 'suspended', 'server-gone', 'timeout']
)
def test_request_stays_counted_after_its_end(how, monkeypatch):
    limit = 'mustardhold.systems.answer_tracking.MAX_TRACKED_FLOWS'
    monkeypatch.setattr(limit, 2)
    tables = tables_of()
    load = tables.answers.load
    token = next(iter(tables.directory.servers_by_token))
    send(tables, token, length=50)
    send(tables, token, NOW + 0.01, length=50)
    assert load.requests_by_token == {token: 1}
    end_by(tables, token, how)
    assert_idle(load)
    expire_load(load, NOW + 99)
    assert_idle(load)
    assert not load.ends


def test_next_request_of_a_flow_counts_twice_or_ends_too_early():
    tables = tables_of()
    load = tables.answers.load
    token = next(iter(tables.directory.servers_by_token))
    for number in range(4):
        now = NOW + number
        place = {'sequence': number * 50, 'acknowledged': number * 9}
        send(tables, token, now, length=50, **place)
        # The time limit of the request before must not end this one.
        expire_load(load, now + 2.4)
        assert load.requests_by_token == {token: 1}
        send(tables, token, now + 0.5, acknowledged=number * 9 + 9)
        assert_idle(load)


@pytest.mark.parametrize(('timeout', 'until'), [(0, 3), (6_000, 3), (900, 0.9)])
def test_request_without_an_answer_counts_for_too_long(timeout, until):
    tables = tables_of(timeout=timedelta(milliseconds=timeout))
    load = tables.answers.load
    send(tables, next(iter(tables.directory.servers_by_token)), length=50)
    expire_load(load, NOW + until - 0.01)
    assert load.requests_by_token
    expire_load(load, NOW + until)
    assert_idle(load)


def test_counts_grow_without_bound():
    load = ServerLoad()
    for token in range(MAX_LOADED_SERVERS + 5):
        opening = OpeningKey(b'%d' % token, 0)
        count_opening(load, NOW, opening, (token, token + 1))
        begin_in_flight(load, NOW, b'%d' % token, token, 3)
    assert len(load.openings_by_token) == MAX_LOADED_SERVERS
    assert len(load.requests_by_token) == MAX_LOADED_SERVERS
    expire_load(load, NOW + 0.12)
    assert not load.openings_by_token
    assert not load.tokens_by_opening
    expire_load(load, NOW + 3)
    assert_idle(load)


@pytest.mark.parametrize(
    'switch', ['chooses_by_load', 'shares_evidence', 'controls_admission']
)
def test_switch_of_the_settings_turns_off_another_part(switch):
    settings = NodeSettings('10.0.0.1', 'dc-1', BindAddresses(), (1, 2), ())
    on = read_balancer_options(settings)
    off = read_balancer_options(
        msgspec.structs.replace(settings, **{switch: False})
    )
    assert getattr(on, switch)
    assert off == msgspec.structs.replace(on, **{switch: False})
    tables = make_tables(off)
    assert (tables.answers.load is None) is (switch == 'chooses_by_load')
    assert tables.name == '10.0.0.1'


def test_log_line_and_timeline_leave_out_the_loads(caplog):
    tables = tables_of()
    keep_busy(tables, subset_of(tables), 3)
    decision = decide_packet(tables, NOW, packet_of())
    log = logging.getLogger('balancer')
    with caplog.at_level(logging.INFO, log.name):
        log_decision(log, tables, NOW, packet_of(), decision)
    (record,) = caplog.records
    # Only this opening, at servers of 2 slots.
    assert record.loads == [0.5, 0.5]
    details = {'servers': record.servers, 'loads': record.loads}
    line = LogLine(
        datetime(2026, 1, 1, tzinfo=UTC), 'b-1', record.message, details
    )
    assert format_line(line).endswith('loads=[0.5, 0.5]')
    (gauge,) = make_load_gauges(tables.answers.load, NOW)
    assert gauge.amount == 18


def test_duplicate_goes_elsewhere_once_the_caller_has_sent_its_request():
    tables = tables_of()
    first = open_flow(tables)
    send(tables, first[0], NOW + 0.005, length=50)
    assert open_flow(tables, now=NOW + 0.006) == first
    assert sum(tables.answers.load.openings_by_token.values()) == 2


def test_duplicate_goes_elsewhere_after_a_later_attempt():
    """Copies that wait while a balancer is suspended arrive all at once."""
    tables = tables_of()
    first = open_flow(tables)
    keep_busy(tables, first)
    open_flow(tables, now=NOW + 0.05, attempt=1)
    assert open_flow(tables, now=NOW + 0.06) == first
    assert sum(tables.answers.load.openings_by_token.values()) == 4


def test_opening_that_is_chosen_anew_is_not_counted():
    tables = tables_of()
    open_flow(tables)
    chosen = open_flow(tables, now=NOW + 0.15)
    assert tables.answers.load.openings_by_token == dict.fromkeys(chosen, 1)


def test_openings_leave_the_data_centre_while_its_only_server_is_idle():
    """Guards against a ranking of a sole idle candidate among remote ones."""
    centres = ('dc-1', *('dc-2',) * 29)
    tables = tables_of(30, centres=centres)
    servers = servers_of(tables, NOW, 'shop')
    (local,) = subset_of(tables)
    ports = [
        port
        for port in range(400)
        if is_within_local_share(tables, NOW, packet_of(port).flow, servers)
    ]
    assert ports
    for port in ports:
        tables = tables_of(30, centres=centres)
        chosen = open_flow(tables, port)
        assert chosen[0] == local
        assert len(chosen) == 2
        keep_busy(tables, [local])
        assert local not in open_flow(tables, port + 400)


def test_small_service_is_chosen_by_load():
    """Guards against flows that leave the data centre of a small service.

    The two servers of a data centre are soon loaded, and flows to other data
    centres break when it is cut off.
    """
    by_load, by_hash = tables_of(6), tables_of(6, is_on=False)
    keep_busy(by_load, by_load.directory.servers_by_token, 3)
    for port in range(200):
        assert open_flow(by_load, port) == open_flow(by_hash, port)


def test_second_copy_goes_to_a_loaded_local_server_beside_an_idle_one():
    for port in range(20):
        tables = tables_of()
        local = servers_of(tables, NOW, 'shop').local_tokens
        idle = subset_of(tables)[0]
        keep_busy(tables, local - {idle})
        assert not set(open_flow(tables, port)) & (local - {idle})


@pytest.mark.parametrize('count', [1, 2])
def test_service_with_fewer_servers_than_wanted_gets_no_opening(count):
    tables = tables_of(count)
    for data_centre in CENTRES:
        tables.data_centre = data_centre
        tables.index.revisions = (-1, -1, -1, -1)
        for attempt in range(3):
            chosen = open_flow(tables, attempt=attempt)
            assert len(chosen) == len(set(chosen)) == count
        keep_busy(tables, tables.directory.servers_by_token, 3)


@pytest.mark.parametrize('share', [0, 0.5, 1])
def test_share_of_hedged_openings_differs_by_load(share):
    tables = tables_of()
    tables.opening_hedge_share = share
    # Openings at one time: none has been unanswered for too long.
    sizes = [len(open_flow(tables, port)) for port in range(400)]
    # Four standard deviations around the share.
    allowed = 0.1 if share == 0.5 else 0
    assert sizes.count(2) / 400 == pytest.approx(share, abs=allowed)


def test_change_of_servers_leaves_gone_ones_among_the_preferred():
    """The preferred servers change between two preparations, too."""
    tables = tables_of()
    gone = set()
    for number in range(30):
        now = NOW + number * 0.4
        server = tables.directory.servers_by_id[f'i-{number}']
        report = msgspec.structs.replace(
            server.report, sequence=2, state=ServerState.DRAINING
        )
        merge_report(tables.directory, now, report)
        gone.add(server.token)
        keep_busy(tables, tables.directory.servers_by_token, now=now)
        for port in range(10):
            assert not gone & set(open_flow(tables, number * 10 + port, now))


def test_answered_requests_keep_others_from_being_counted():
    """A clock that stands still lets no entry expire."""
    load = ServerLoad()
    begin_in_flight(load, NOW, b'first', 1, 3)
    for number in range(40_000):
        flow = b'%d' % number
        begin_in_flight(load, NOW, flow, 2, 3)
        assert load.requests_by_token == {1: 1, 2: 1}
        end_in_flight(load, flow)
        assert len(load.ends) <= MAX_REQUEST_ENDS
    expire_load(load, NOW + 3)
    assert_idle(load)
    assert not load.ends
