"""Hedging: when copies are sent, and which answer reaches the caller."""

import random
from datetime import timedelta

import msgspec
import pytest

from mustardhold.systems.affinity import handle_backend_packet
from mustardhold.systems.announcements import store_announcement
from mustardhold.systems.deadlines import is_certainly_not_run
from mustardhold.systems.explaining import explain
from mustardhold.systems.hedge_copies import is_whole
from mustardhold.systems.hedge_promises import handle_hedge_started
from mustardhold.systems.hedging import (
    choose_target,
    credit_and_schedule_hedge,
    reason_against_copy,
    record_latency,
    spend_token,
)
from mustardhold.systems.observing import record_hedges
from mustardhold.systems.ownership import owners_of_flow
from mustardhold.systems.peers import handle_peer_message, tick
from mustardhold.systems.requests import handle_request
from mustardhold.systems.routing import install_table
from mustardhold.tables.backends import BackendServer, BackendState
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import (
    HEDGE_BURST_REQUESTS,
    MIN_HEDGE_SAMPLES,
)
from mustardhold.tables.hedging import Hedge, HedgingOptions
from mustardhold.tables.observations import Observations
from mustardhold.tables.outbox import ToBackend, ToCaller, ToPeer
from mustardhold.tables.packets import Answer, Cancel, Open, Opened, Request
from mustardhold.tables.request_messages import HedgePromise, HedgeStarted
from mustardhold.tables.requests import RequestRecord
from mustardhold.tables.routing import Pool, Route, RoutingTable
from mustardhold.tables.views import Member, View
from tools.fakes.clock import FakeClock
from tools.fakes.hedging_runs import POLICY, run_slow_servers

SERVICE = 'katalog'
ADDRESS = '10.20.0.1:443'
FLOW = b'caller' + bytes((10, 20, 0, 1, 1, 187))
SERVERS = ('s1', 's2', 's3')
FAST = 0.01
SLOW = 0.2


def make_tables(names=('b1',), instance_id='b1', share=0.5):
    members = {name: Member(name, 'dc', '127.0.0.1:1') for name in names}
    tables = BalancerTables(instance_id, 'dc', View(1, members))
    pool = Pool(SERVICE)
    table = RoutingTable(
        1, {SERVICE: Route(SERVICE, (ADDRESS,))}, {SERVICE: pool}, {}
    )
    install_table(tables, table)
    for name in SERVERS:
        announced = BackendServer(
            name,
            SERVICE,
            'dc',
            f'{name}:1',
            2,
            99,
            0,
            0,
            BackendState.READY,
            1,
            1,
        )
        store_announcement(tables, 0, announced)
    least = timedelta(milliseconds=50)
    tables.hedging.policy = HedgingOptions(share, least, (SERVICE,))
    for _ in range(MIN_HEDGE_SAMPLES):
        record_latency(tables, FAST, make_record(forwards=1))
        credit_and_schedule_hedge(tables, 0, b'', make_record())
    return tables


def make_record(**changes):
    record = RequestRecord(FLOW, bytes(16), SERVICE, 's1', True, 1, 0, 9)
    return msgspec.structs.replace(record, **changes)


def drain(tables, record):
    announced = tables.backends_by_id[record.backend_id].announced
    changed = msgspec.structs.replace(
        announced, state=BackendState.DRAINING, sequence=2
    )
    store_announcement(tables, 0, changed)


def stop(tables, _):
    tables.is_stopping = True


def queue(tables, _):
    tables.requests.waiting_by_service[SERVICE] = 1


def refuse_retries(tables, _):
    tables.requests.retry_tokens_by_service[SERVICE] = 0.9


def spend_budget(tables, _):
    tables.hedging.tokens_by_service[SERVICE] = 0.9


def shed(_, record):
    record.sheds = 1


def answer(_, record):
    record.parts_seen = 1


@pytest.mark.parametrize(
    ('change', 'obstacle'),
    [
        (lambda tables, record: None, ''),
        (drain, 'draining'),
        (stop, 'draining'),
        (queue, 'overloaded'),
        (refuse_retries, 'overloaded'),
        (shed, 'overloaded'),
        (spend_budget, 'budget'),
        (answer, 'answered'),
    ],
)
def test_no_copy_under_overload_drain_or_without_budget(change, obstacle):
    tables, record = make_tables(), make_record()
    change(tables, record)
    assert reason_against_copy(tables, 1, record) == obstacle


def suspect(tables, name):
    tables.backends_by_id[name].ejected_until = 9


def drain_other(tables, name):
    drain(tables, make_record(backend_id=name))


def fill(tables, name):
    choose_target(tables, 1, make_record())
    window = tables.requests.windows_by_backend[name]
    window.in_flight = int(window.limit)


@pytest.mark.parametrize('exclude', [suspect, drain_other, fill])
def test_copy_goes_to_another_server_that_is_sound(exclude):
    tables = make_tables()
    exclude(tables, 's2')
    chosen = choose_target(tables, 1, make_record())
    assert chosen.announced.backend_id == 's3'
    exclude(tables, 's3')
    assert choose_target(tables, 1, make_record()) is None


@pytest.mark.parametrize('share', [0.001, 0.05, 1])
def test_budget_is_not_exceeded_in_any_window(share):
    rng = random.Random(1)
    tables = make_tables(share=share)
    surplus = lowest = 0
    burst = max(share * HEDGE_BURST_REQUESTS, 1)
    copies = 0
    for _ in range(20_000):
        if rng.random() < 0.5 or rng.random() < 0.3 * share:
            credit_and_schedule_hedge(tables, 0, b'', make_record())
            surplus -= share
        elif not reason_against_copy(tables, 1, make_record()):
            spend_token(tables, SERVICE)
            copies += 1
            surplus += 1
        lowest = min(lowest, surplus)
        assert surplus - lowest <= burst + 1e-6
    assert copies > 5


def request_of(number=1, *, idempotent=True):
    return Request(FLOW, number.to_bytes(16, 'big'), idempotent, 2000, b'x')


def send(tables, now, packet):
    outbox = []
    known = tables.backends_by_id['s1']
    handle_request(tables, now, packet, known, outbox)
    return outbox


def hedge(tables, packet, start=1.0):
    """Let a request become slow, and return the packet of its copy."""
    send(tables, start, packet)
    outbox = []
    tick(tables, start + SLOW, outbox)
    opening = next(
        sent for sent in outbox if isinstance(getattr(sent, 'packet', 0), Open)
    )
    name = opening.address.partition(':')[0]
    outbox = []
    opened = Opened(opening.packet.flow, name)
    handle_backend_packet(tables, start + SLOW, opened, outbox)
    copy = next(sent for sent in outbox if isinstance(sent, ToBackend))
    return copy, outbox


def answer_to(packet, payload=b'y'):
    return Answer(packet.flow, packet.request_id, 0, 1, payload)


def respond(tables, now, answer):
    outbox = []
    handle_backend_packet(tables, now, answer, outbox)
    return [(type(one).__name__, one) for one in outbox]


def test_first_answer_wins_and_the_late_one_reaches_no_caller():
    tables, packet = make_tables(), request_of()
    copy, _ = hedge(tables, packet)
    assert copy.packet.flow != packet.flow
    assert copy.address != 's1:1'
    outbox = respond(tables, 1.3, answer_to(copy.packet))
    assert [one.packet for _, one in outbox] == [
        answer_to(packet),
        Cancel(packet.flow, packet.request_id),
    ]
    assert respond(tables, 1.4, answer_to(packet, b'late')) == []
    assert respond(tables, 1.5, answer_to(copy.packet)) == []
    assert tables.counters[SERVICE, 'hedge-won'] == 1
    # A repeat by the caller is a run of its own, whose answer counts again.
    send(tables, 2.0, packet)
    assert len(respond(tables, 2.1, answer_to(packet, b'again'))) == 1


def test_copy_is_cancelled_once_the_first_server_answers():
    tables, packet = make_tables(), request_of()
    copy, _ = hedge(tables, packet)
    outbox = respond(tables, 1.3, answer_to(packet))
    cancel = Cancel(copy.packet.flow, copy.packet.request_id)
    assert [one.packet for _, one in outbox] == [answer_to(packet), cancel]
    assert respond(tables, 1.4, answer_to(copy.packet)) == []
    target = copy.address.partition(':')[0]
    assert tables.requests.windows_by_backend[target].in_flight == 0
    assert tables.counters[SERVICE, 'hedge-lost'] == 1


def test_a_made_up_answer_in_the_flow_of_copies_reaches_nobody():
    tables, packet = make_tables(), request_of()
    copy, _ = hedge(tables, packet)
    for request_id in (bytes(16), packet.request_id):
        forged = msgspec.structs.replace(
            answer_to(copy.packet), request_id=request_id
        )
        assert respond(tables, 1.3, forged) == []


def test_copy_waits_for_the_promises_of_all_members():
    names = ('b1', 'b2', 'b3')
    owner = owners_of_flow(make_tables(names), FLOW)[0]
    tables = make_tables(names, owner)
    packet = request_of()
    copy, outbox = hedge(tables, packet)
    asked = [one for one in outbox if isinstance(one, ToPeer)]
    assert {one.instance_id for one in asked} == {*names} - {owner}
    assert respond(tables, 1.3, answer_to(copy.packet)) == []
    replies = []
    for one in asked:
        member = make_tables(names, one.instance_id)
        assert isinstance(one.message, HedgeStarted)
        handle_hedge_started(member, 1.3, one.message, replies)
        # Such a member relays the answer instead of passing it on.
        [(kind, relayed)] = respond(member, 1.4, answer_to(packet))
        assert (kind, relayed.instance_id) == ('ToPeer', owner)
    sent = []
    for reply in replies:
        assert isinstance(reply.message, HedgePromise)
        assert not sent
        handle_peer_message(tables, 1.4, reply.message, sent)
    assert isinstance(sent[0], ToCaller)
    late = []
    handle_peer_message(tables, 1.5, relayed.message, late)
    assert late == []


@pytest.mark.parametrize(
    'packet', [request_of(idempotent=False), request_of()], ids=str
)
def test_no_copy_of_what_may_run_once_or_with_too_few_samples(packet):
    tables = make_tables()
    if packet.idempotent:
        tables.hedging.latencies_by_service.clear()
    send(tables, 1.0, packet)
    tick(tables, 1.0 + SLOW, [])
    assert not tables.hedging.flows_by_server
    assert not tables.hedging.hedges_by_key


def test_no_copy_of_a_request_whose_deadline_has_passed():
    """Guards against copies that an owner sends after it was held up."""
    tables = make_tables()
    send(tables, 1.0, request_of(1))
    send(tables, 4.0, request_of(2))
    assert not tables.hedging.flows_by_server


def test_a_shed_request_with_a_copy_may_have_run():
    record = make_record(forwards=1, sheds=1)
    assert is_certainly_not_run(record)
    record.is_hedged = True
    assert not is_certainly_not_run(record)


def test_explain_names_copies_and_histograms_tell_their_outcome():
    tables, packet, observations = make_tables(), request_of(), Observations()
    copy, _ = hedge(tables, packet)
    respond(tables, 1.3, answer_to(copy.packet))
    record_hedges(observations, tables)
    told = explain(tables, observations, packet.request_id, FakeClock().now())
    target = copy.address.partition(':')[0]
    assert [(one.outcome, one.target) for one in told.decisions] == [
        ('hedged', target),
        ('hedge-won', target),
    ]
    assert 's1 sent no answer in 200 ms' in told.decisions[0].reason
    key = ('hedge_seconds', SERVICE, 'hedge-won')
    assert sum(observations.histograms_by_key[key].counts) == 1


def test_flows_of_copies_do_not_keep_a_server_from_draining():
    tables = make_tables()
    copy, _ = hedge(tables, request_of())
    drain_other(tables, copy.address.partition(':')[0])
    outbox = []
    tick(tables, 1.3, outbox)
    closed = [one.packet for one in outbox if isinstance(one, ToBackend)]
    assert [type(one).__name__ for one in closed] == ['Close']


def test_slow_servers_cost_less_with_hedging():
    """Load: 120 requests/s, 60 servers of 34 ms, two of them 8 times slower."""
    off, on = (run_slow_servers(1, policy) for policy in (None, POLICY))
    for name, run in (('off', off), ('on', on)):
        shown = [
            round(run.percentile(one) * 1000) for one in (0.5, 0.99, 0.999)
        ]
        print(
            name,
            'p50, p99, p99.9 in ms:',
            shown,
            'copies:',
            run.count('hedged'),
        )
    assert on.percentile(0.5) == pytest.approx(off.percentile(0.5), rel=0.1)
    assert on.percentile(0.99) < 0.8 * off.percentile(0.99)
    assert on.percentile(0.999) < 0.8 * off.percentile(0.999)
    assert 0 < on.count('hedged') <= POLICY.share * on.count('answered')
    assert not any(one.foreign_answers for one in on.requests)


@pytest.mark.parametrize(
    ('parts', 'whole'),
    [
        ([(0, 1)], True),
        ([(0, 2), (1, 2)], True),
        ([(0, 2)], False),
        ([(0, 2), (5, 6)], False),
        ([(1, 2), (2, 2)], False),
        ([], False),
    ],
)
def test_parts_that_disagree_are_no_whole_answer(parts, whole):
    """Guards against an answer that lacks a part and repeats another one."""
    copy = Hedge(b'', b'', 'a', 1, 0, set())
    for part, count in parts:
        copy.parts[part] = Answer(bytes(12), bytes(16), part, count, b'y')
    assert is_whole(copy) is whole
