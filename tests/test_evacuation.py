"""Evacuated data centres: no opening goes there, and a gradual return."""

from collections import Counter

import msgspec
import pytest

from mustardhold.systems.directory import merge_report, merge_rows, rows_after
from mustardhold.systems.evacuation import install_evacuations
from mustardhold.systems.liveness import update_silent
from mustardhold.systems.server_choice import choose_servers
from mustardhold.systems.token_forwarding import (
    decide_packet,
    install_configuration,
)
from mustardhold.tables.configurations import (
    Configuration,
    RequestKind,
    ServiceAddress,
    ServiceRoute,
    WeightedService,
)
from mustardhold.tables.constants import (
    RETURN_STEP,
    RETURN_STEPS,
    SERVERS_PER_OPENING,
)
from mustardhold.tables.directory import Directory, ServerReport, ServerState
from mustardhold.tables.evacuations import EvacuatedDataCentre, EvacuationState
from mustardhold.tables.forwarding import (
    CallerPacket,
    Drop,
    DropCause,
    ForwardingTables,
    Reset,
)

NOW = 10.0
RETURN_SECONDS = RETURN_STEP.total_seconds() * RETURN_STEPS
ADDRESS = ServiceAddress(1, 443)
ROUTE = ServiceRoute(
    'feed', ADDRESS, RequestKind.SAFE, (WeightedService('feed', 1),)
)
# Target for the busiest server, as a multiple of its service's mean.
MAX_IMBALANCE = 1.25
DATA_CENTRES = ('dc-1', 'dc-2', 'dc-3')
FLOWS = [number.to_bytes(12) for number in range(3_000)]


def report(number, data_centre, **changes):
    base = ServerReport(
        f'i-{number:x}',
        100,
        1,
        'feed',
        f'10.0.0.{number}:80',
        data_centre,
        2,
        ServerState.READY,
    )
    return msgspec.structs.replace(base, **changes)


def tables_of(*data_centres, local='dc-1'):
    tables = ForwardingTables(local, last_feed_at=NOW)
    install_configuration(tables, Configuration(1, {ADDRESS: ROUTE}))
    for number, data_centre in enumerate(data_centres, start=1):
        merge_report(tables.directory, NOW, report(number, data_centre))
    return tables


def evacuate(tables, revision, *names):
    orders = tuple(EvacuatedDataCentre(name, 'c-1', 0) for name in names)
    return install_evacuations(tables, EvacuationState(revision, orders))


def decide(tables, now, port=1, attempt=0):
    flow = port.to_bytes(12)
    packet = CallerPacket(flow, ADDRESS, 0, 0, attempt, True, False)
    return decide_packet(tables, now, packet)


def data_centres_of(servers):
    return {known.report.data_centre for known in servers}


def measure_shares(fleet, now):
    """Return each data centre's share of the first copies of a load.

    The same number of callers in each data centre open flows.
    """
    counts = Counter(
        choose_servers(tables, now, 'feed', flow, 0)[0].report.data_centre
        for tables in fleet
        for flow in FLOWS
    )
    return [counts[name] / counts.total() for name in DATA_CENTRES]


@pytest.mark.parametrize(
    ('sizes', 'emptied'), [((8, 8, 8), (0, 1, 1)), ((8, 6, 9), (0, 6, 9))]
)
def test_load_leaves_a_data_centre_and_returns_without_a_herd(sizes, emptied):
    """Guards against uneven shares, and against a burst at the return."""
    servers = [
        name
        for name, size in zip(DATA_CENTRES, sizes, strict=True)
        for _ in range(size)
    ]
    fleet = [tables_of(*servers, local=name) for name in DATA_CENTRES]
    before = measure_shares(fleet, NOW)
    assert before == pytest.approx(shares_by(sizes), abs=0.04)
    for tables in fleet:
        evacuate(tables, 5, 'dc-1')
    during = measure_shares(fleet, NOW)
    assert during[0] == 0
    assert during == pytest.approx(shares_by(emptied), abs=0.04)
    for tables in fleet:
        evacuate(tables, 6)
    returned = [
        measure_shares(fleet, NOW + step * RETURN_STEP.total_seconds())
        for step in range(RETURN_STEPS + 1)
    ]
    for step, shares in enumerate(returned, start=1):
        part = sizes[0] * step / (RETURN_STEPS + 1)
        expected = shares_by((part, *sizes[1:]))
        assert shares[0] == pytest.approx(expected[0], abs=0.04)
        assert shares[1] < MAX_IMBALANCE * expected[1]
        assert shares[2] < MAX_IMBALANCE * expected[2]
    assert returned[-1] == before


def shares_by(weights):
    return [weight / sum(weights) for weight in weights]


def test_return_starts_at_the_first_opening_after_it_became_known():
    """Guards against a rise that has ended before a balancer gets openings."""
    tables = tables_of('dc-1', 'dc-2')
    decide(tables, NOW)
    evacuate(tables, 1, 'dc-1')
    evacuate(tables, 2)
    decide(tables, NOW + 60)
    assert tables.returned_at == {'dc-1': NOW + 60}
    evacuate(tables, 3, 'dc-2')
    decide(tables, NOW + 60 + RETURN_SECONDS)
    assert not tables.returned_at


@pytest.mark.parametrize('attempt', [0, 1, 2])
@pytest.mark.parametrize('elsewhere', ['answering', 'avoided', 'silent'])
def test_no_copy_goes_to_an_evacuated_server(elsewhere, attempt):
    """Guards against second copies, repeats and last resorts that do."""
    tables = tables_of('dc-1', 'dc-1', 'dc-1', 'dc-2')
    decide(tables, NOW)
    evacuate(tables, 1, 'dc-1')
    if elsewhere == 'avoided':
        for port in range(10, 20):
            decide(tables, NOW + port / 100, port)
    elif elsewhere == 'silent':
        silent = tables.directory.servers_by_id['i-4'].token
        update_silent(tables.directory, frozenset((silent,)))
    decision = decide(tables, NOW + 0.4, attempt=attempt)
    assert data_centres_of(decision.servers) == {'dc-2'}
    assert len(decision.servers) < SERVERS_PER_OPENING


@pytest.mark.parametrize('attempt', [0, 1])
def test_a_service_with_servers_only_there_is_reset_at_once(attempt):
    """Guards against callers that wait for retransmissions in vain."""
    tables = tables_of('dc-1', 'dc-1')
    evacuate(tables, 1, 'dc-1')
    assert decide(tables, NOW, 1, attempt) == Reset(DropCause.EVACUATED)
    evacuate(tables, 2)
    assert data_centres_of(decide(tables, NOW).servers) == {'dc-1'}
    ended = report(9, 'dc-1', service='other')
    only_others = tables_of()
    merge_report(only_others.directory, NOW, ended)
    evacuate(only_others, 1, 'dc-1')
    assert decide(only_others, NOW) == Drop(DropCause.NO_SERVER)


def test_open_flows_stay():
    """Guards against resets of flows that were open before the order."""
    tables = tables_of('dc-1')
    token = tables.directory.servers_by_id['i-1'].token
    evacuate(tables, 1, 'dc-1')
    packet = CallerPacket(b'flow', ADDRESS, token, 7, 0, False, False)
    assert data_centres_of(decide_packet(tables, NOW, packet).servers)


def test_an_older_revision_changes_nothing():
    """Guards against a relay that lags and revokes an order."""
    tables = tables_of('dc-1', 'dc-2')
    assert evacuate(tables, 5, 'dc-1')
    assert not evacuate(tables, 5)
    assert not evacuate(tables, 4)
    assert data_centres_of(decide(tables, NOW).servers) == {'dc-2'}
    assert not tables.returned_at


def test_a_slow_start_within_an_incarnation_is_shared_once():
    """Guards against cold servers unknown to balancers, and needless rows."""
    control, balancer = Directory(), Directory()
    merge_report(control, NOW, report(1, 'dc-1'))
    revisions = []
    for sequence, (at, slow_for_ms) in enumerate(
        [(0, 0), (1, 5_000), (2.4, 4_000), (3, 3_000), (7, 0), (8, 2_500)],
        start=2,
    ):
        now = NOW + 20 + at
        changed = report(1, 'dc-1', sequence=sequence, slow_for_ms=slow_for_ms)
        merge_report(control, now, changed)
        rows = rows_after(control, now, balancer.revision)
        list(merge_rows(balancer, now, rows))
        revisions.append(control.revision)
    assert revisions == [1, 2, 2, 2, 2, 3]
    assert balancer.revision == control.revision
    [known] = balancer.servers_by_id.values()
    assert known.slow_until == pytest.approx(NOW + 30.5)
