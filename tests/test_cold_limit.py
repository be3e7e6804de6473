"""The limit on openings that cold servers get from all balancers together."""

import random

import msgspec
import pytest

from mustardhold.systems.cold_limit import count_sent, has_room, share_of
from mustardhold.systems.directory import merge_report
from mustardhold.systems.evacuation import install_evacuations
from mustardhold.systems.server_choice import choose_servers
from mustardhold.systems.token_forwarding import (
    decide_packet,
    install_configuration,
)
from mustardhold.tables.cold_limit import ColdLimits
from mustardhold.tables.configurations import (
    Configuration,
    RequestKind,
    ServiceAddress,
    ServiceLimits,
    ServiceRoute,
    WeightedService,
)
from mustardhold.tables.constants import COLD_SHARE_USED
from mustardhold.tables.directory import ServerReport, ServerState
from mustardhold.tables.evacuations import EvacuatedDataCentre, EvacuationState
from mustardhold.tables.forwarding import (
    CallerPacket,
    Drop,
    DropCause,
    ForwardingTables,
)

NOW = 10.0
TOKEN = 7
SECONDS = 30
ADDRESS = ServiceAddress(1, 443)
ROUTE = ServiceRoute(
    'feed', ADDRESS, RequestKind.SAFE, (WeightedService('feed', 1),)
)


def tolerated(limit):
    """Return what the platform tolerates in any second."""
    return 1.5 * limit + 5


def send_wherever_allowed(fleet, limit, times):
    """Offer an opening to each balancer at each time; return when one went."""
    sent = []
    for now in times:
        for limits in fleet:
            share = share_of(limits, limit, is_last_resort=False)
            if has_room(limits, now, TOKEN, share):
                count_sent(limits, now, TOKEN, share)
                sent.append(now)
    return sent


def busiest_second(sent):
    return max(
        sum(start <= one < start + 1 for one in sent[index:])
        for index, start in enumerate(sent)
    )


def fleet_of(count, known):
    return [ColdLimits(f'b-{number}', known) for number in range(count)]


def times_from(start):
    return [start + step / 50 for step in range(SECONDS * 50)]


@pytest.mark.parametrize('begin', ['at-once', 'surge-after-quiet'])
@pytest.mark.parametrize('count', [1, 3, 80])
@pytest.mark.parametrize('limit', [0.5, 2, 6, 10, 20, 40])
def test_all_balancers_together_keep_to_the_limit(limit, count, begin):
    """Guards against a share below one that is rounded, or saved up."""
    times = times_from(NOW)
    if begin == 'surge-after-quiet':
        times = [NOW, *times_from(NOW + 20)]
    sent = send_wherever_allowed(fleet_of(count, count), limit, times)
    assert busiest_second(sent) <= tolerated(limit)
    lasting = [one for one in sent if one >= times[1]]
    whole, fraction = divmod(limit / count, 1)
    expected = count * (whole + COLD_SHARE_USED * fraction)
    # At the lowest share, only some twelve balancers have their turn.
    assert len(lasting) / SECONDS == pytest.approx(expected, rel=0.1, abs=0.15)


def test_shares_stay_within_the_limit_while_the_fleet_changes():
    """Guards against balancers that take over a share that is still used."""
    fleet = fleet_of(80, 80)
    early = [time for time in times_from(NOW) if time < NOW + SECONDS / 2]
    late = [time for time in times_from(NOW) if time >= NOW + SECONDS / 2]
    sent = send_wherever_allowed(fleet, 10, early)
    del fleet[60:]
    sent += send_wherever_allowed(fleet, 10, late)
    dead_share = len([one for one in sent if one in late]) / (SECONDS / 2)
    assert dead_share == pytest.approx(10 * COLD_SHARE_USED * 60 / 80, rel=0.15)
    for limits in fleet:
        limits.balancers = 60
    following = [time + SECONDS for time in times_from(NOW)]
    sent += send_wherever_allowed(fleet, 10, following)
    assert busiest_second(sent) <= tolerated(10)


@pytest.mark.parametrize(('limit', 'left'), [(30, 27), (40, 37)])
def test_a_share_that_becomes_fractional_spreads_the_balancers(limit, left):
    """Guards against balancers that all start to wait at the same time.

    A share of one has no fractional part until the first balancers leave.
    """
    fleet = fleet_of(limit, limit)
    sent = send_wherever_allowed(fleet, limit, [NOW])
    del fleet[left:]
    for limits in fleet:
        limits.balancers = left
    following = [time + 1 for time in times_from(NOW)]
    following += [time + SECONDS for time in following]
    sent += send_wherever_allowed(fleet, limit, following)
    assert busiest_second(sent) <= tolerated(limit)


def tables_of(warm, cold, limit, balancers):
    tables = ForwardingTables(last_feed_at=NOW)
    tables.cold_limits = ColdLimits('b-1', balancers)
    limits = {'feed': ServiceLimits('feed', limit)} if limit else {}
    configuration = Configuration(1, {ADDRESS: ROUTE}, limits)
    install_configuration(tables, configuration)
    base = ServerReport('', 100, 1, 'feed', '', 'dc-1', 2, ServerState.READY)
    for number in range(1, warm + cold + 1):
        report = msgspec.structs.replace(
            base,
            server_id=f'{"warm" if number <= warm else "cold"}-{number}',
            address=f'10.0.0.{number}:80',
            slow_for_ms=0 if number <= warm else 5_000,
        )
        merge_report(tables.directory, NOW, report)
    return tables


def count_cold(tables, now, flows=200):
    """Return how many copies go to cold servers within a short time."""
    generator = random.Random(1)
    chosen = [
        known
        for number in range(flows)
        for known in choose_servers(
            tables, now + number / flows / 2, 'feed', generator.randbytes(12), 0
        )
    ]
    return sum(known.report.server_id.startswith('cold') for known in chosen)


@pytest.mark.parametrize(
    ('limit', 'balancers', 'expected'),
    [(3, 1, 6), (30, 10, 6), (3, 0, 0)],
    ids=['alone', 'one-of-ten', 'number-unknown'],
)
def test_openings_beyond_the_share_go_to_other_servers(
    limit, balancers, expected
):
    """Guards against more copies than the share at any of two cold servers."""
    tables = tables_of(4, 2, limit, balancers)
    assert count_cold(tables, NOW) == expected
    assert tables.counters['feed', 'held-back-cold'] > 50
    before = len(tables.cold_limits.windows_by_token)
    assert before == (2 if expected else 0)
    # After the slow start they get their part of 400 copies.
    assert count_cold(tables, NOW + 6) == pytest.approx(133, abs=30)


@pytest.mark.parametrize(
    ('limit', 'least', 'most'), [(3, 1.5, 3), (1_000, 8, 14)]
)
def test_a_fleet_uses_the_limit_and_no_more_than_the_weight(limit, least, most):
    """Guards against starved cold servers, and against a herd onto them.

    400 flows a second, 40 balancers, 30 warm and 10 cold servers: at half the
    weight, a cold server's part is 800 / 70 copies a second.
    """
    generator = random.Random(1)
    fleet = [tables_of(30, 10, limit, 40) for _ in range(40)]
    for number, tables in enumerate(fleet):
        tables.cold_limits.name = f'b-{number}'
    sent = {}
    seconds = 5
    for number in range(400 * seconds):
        now = NOW + number / 400
        tables, flow = generator.choice(fleet), generator.randbytes(12)
        for known in choose_servers(tables, now, 'feed', flow, 0):
            sent.setdefault(known.report.server_id, []).append(now)
    cold = [times for name, times in sent.items() if name.startswith('cold')]
    mean = sum(map(len, cold)) / 10 / seconds
    assert least <= mean <= most
    assert max(map(busiest_second, cold)) <= tolerated(limit)


def test_without_a_limit_cold_servers_get_half_of_their_part():
    """Guards against an effect where nothing is configured."""
    limited, free = tables_of(4, 2, 1e6, 1), tables_of(4, 2, 0, 0)
    # Half of the weight of four others for two servers: 80 of 400 copies.
    assert count_cold(free, NOW) == pytest.approx(80, abs=25)
    assert count_cold(limited, NOW) == pytest.approx(80, abs=25)
    assert not free.cold_limits.windows_by_token
    assert not free.counters


@pytest.mark.parametrize(('balancers', 'expected'), [(1, 6), (3, 2), (0, 6)])
def test_openings_of_a_service_with_cold_servers_only(balancers, expected):
    """Guards against floods, and against a service that serves nothing.

    Without the number of balancers, one keeps to the whole limit by itself.
    """
    tables = tables_of(0, 2, 3, balancers)
    decisions = [decide(tables, port) for port in range(40)]
    drops = decisions.count(Drop(DropCause.COLD_LIMIT))
    copies = sum(
        len(one.servers) for one in decisions if not isinstance(one, Drop)
    )
    assert copies == expected
    assert drops == 40 - expected / 2


def decide(tables, port):
    flow = port.to_bytes(12)
    packet = CallerPacket(flow, ADDRESS, 0, 0, 0, True, False)
    return decide_packet(tables, NOW, packet)


def test_servers_of_a_returned_data_centre_count_as_cold():
    """Guards against a burst before their reports tell of a slow start."""
    tables = tables_of(4, 2, 3, 1)
    for known in tuple(tables.directory.servers_by_id.values()):
        if known.report.server_id.startswith('cold'):
            moved = msgspec.structs.replace(
                known.report, data_centre='dc-2', sequence=2, slow_for_ms=0
            )
            merge_report(tables.directory, NOW, moved)
    order = EvacuatedDataCentre('dc-2', 'c-1', 0)
    install_evacuations(tables, EvacuationState(1, (order,)))
    assert count_cold(tables, NOW) == 0
    install_evacuations(tables, EvacuationState(2))
    assert count_cold(tables, NOW) == 6
    merge_report(
        tables.directory,
        NOW,
        msgspec.structs.replace(moved, sequence=3, slots=4),
    )
    # The index is made again; what was sent within the second still counts.
    assert count_cold(tables, NOW + 0.25, flows=10) == 0
    assert count_cold(tables, NOW + 6) > 6
