"""Requests: replication to their owners, queueing, retries and outcomes."""

import msgspec
import pytest

from mustardhold.systems.affinity import (
    handle_caller_packet,
    replay_held_packets,
)
from mustardhold.systems.announcements import store_announcement
from mustardhold.systems.answers import handle_answer, handle_shed
from mustardhold.systems.deadlines import run_request_timers
from mustardhold.systems.hashing import bucket_of, select_owners
from mustardhold.systems.ownership import awaits_first_lease
from mustardhold.systems.peers import handle_peer_message
from mustardhold.systems.request_handover import (
    query_request_history,
)
from mustardhold.systems.request_history import (
    has_complete_history,
    update_owner_history,
)
from mustardhold.systems.request_messages import handle_request_message
from mustardhold.systems.request_records import request_key
from mustardhold.systems.requests import (
    handle_cancel,
    handle_request,
    reply_without_lease,
)
from mustardhold.systems.retries import backoff_seconds, spend_retry_token
from mustardhold.tables.backends import BackendServer, BackendState
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.coordination import Membership
from mustardhold.tables.outbox import ToBackend, ToCaller, ToPeer
from mustardhold.tables.packets import (
    Answer,
    Cancel,
    Request,
    Shed,
)
from mustardhold.tables.peers import Lease
from mustardhold.tables.request_messages import ChainDropped, RequestChain
from mustardhold.tables.requests import RequestState
from mustardhold.tables.views import Member, View

NAMES = ('b1', 'b2', 'b3', 'b4', 'b5')
FLOW = b'caller' + b'server'
OWNERS = select_owners(bucket_of(FLOW), NAMES)
SERVER = BackendServer(
    's1',
    'werkstatt',
    'dc',
    '127.0.0.1:9',
    2,
    2000,
    0,
    0,
    BackendState.READY,
    1,
    1,
)


def members(names):
    return {name: Member(name, 'dc', '127.0.0.1:1') for name in names}


def make_tables(name, epoch=1, names=NAMES):
    tables = BalancerTables(name, 'dc', View(epoch, members(names)))
    store_announcement(tables, 0, SERVER)
    update_owner_history(tables, 0)
    return tables


def make_group():
    return {name: make_tables(name) for name in NAMES}


def make_request(number=1, *, idempotent=False, deadline_ms=2000):
    return Request(
        FLOW, number.to_bytes(16, 'big'), idempotent, deadline_ms, b'book'
    )


def deliver_messages(group, outbox, now=0.0):
    """Deliver messages between balancers; return what leaves the group."""
    external = []
    while outbox:
        send = outbox.pop(0)
        if isinstance(send, ToPeer):
            receiver = group[send.instance_id]
            handle_request_message(receiver, now, send.message, outbox)
        else:
            external.append(send)
    return external


def send_request(group, packet, now=0.0):
    """Send a request to its primary owner and deliver all messages."""
    outbox = []
    primary = group[OWNERS[0]]
    known = primary.backends_by_id['s1']
    handle_request(primary, now, packet, known, outbox)
    return deliver_messages(group, outbox, now)


def outcomes(sends):
    return [
        (type(send.packet).__name__, getattr(send.packet, 'reason', ''))
        for send in sends
    ]


def test_every_owner_stores_a_request_before_its_server_gets_it():
    group = make_group()
    packet = make_request()
    [send] = send_request(group, packet)
    assert isinstance(send, ToBackend)
    key = request_key(packet.flow, packet.request_id)
    holders = {
        name for name in NAMES if key in group[name].requests.records_by_key
    }
    assert holders == set(OWNERS)


def test_a_repeated_non_idempotent_request_is_forwarded_once():
    group = make_group()
    assert len(send_request(group, make_request())) == 1
    assert send_request(group, make_request(), 0.5) == []


def test_a_repeated_chain_message_is_handled_once():
    group = make_group()
    outbox = []
    primary = group[OWNERS[0]]
    known = primary.backends_by_id['s1']
    handle_request(primary, 0, make_request(), known, outbox)
    assert len(deliver_messages(group, [*outbox, *outbox])) == 1


def test_a_queued_request_is_sent_with_its_remaining_time():
    group = make_group()
    primary = group[OWNERS[0]]
    outbox = []
    known = primary.backends_by_id['s1']
    window_limit = 7
    for number in range(window_limit + 1):
        packet = make_request(number, idempotent=True)
        handle_request(primary, 0, packet, known, outbox)
    assert len(outbox) == window_limit
    outbox.clear()
    answer = Answer(FLOW, make_request(0).request_id, 0, 1, b'')
    handle_answer(primary, answer, outbox)
    run_request_timers(primary, 0.1, outbox)
    [sent] = [send for send in outbox if isinstance(send, ToBackend)]
    assert sent.packet.deadline_ms == 1900


def test_a_newer_view_stops_a_chain_of_an_earlier_one():
    last = make_tables(OWNERS[-1], epoch=2)
    group = make_group()
    outbox = []
    primary = group[OWNERS[0]]
    known = primary.backends_by_id['s1']
    handle_request(primary, 0, make_request(), known, outbox)
    group[OWNERS[-1]] = last
    assert deliver_messages(group, outbox) == []
    assert (
        last.counters['werkstatt', 'request-chain-stale']
        + (last.counters['', 'request-chain-stale'])
    )


NEVER = float('-inf')


def join_without_lease(tables):
    """Put a balancer into a view that names it, before its first lease."""
    tables.membership = Membership(1, {}, (), 0, active_at=0)
    tables.lease_until = NEVER


def give_first_lease(tables, outbox):
    sent_at = 0.2
    lease = Lease('', 1, sent_at, tables.view.epoch, (), None)
    handle_peer_message(tables, sent_at, lease, outbox)


@pytest.mark.parametrize('position', [1, 2])
def test_a_chain_waits_for_the_first_lease_of_an_owner(position):
    group = make_group()
    joined = group[OWNERS[position]]
    join_without_lease(joined)
    assert send_request(group, make_request()) == []
    assert not joined.counters['werkstatt', 'request-chain-stale']
    outbox = []
    give_first_lease(joined, outbox)
    sent = deliver_messages(group, outbox, 0.2)
    assert [type(one) for one in sent] == [ToBackend]


def test_a_request_waits_for_the_first_lease_of_its_owner():
    group = make_group()
    primary = group[OWNERS[0]]
    join_without_lease(primary)
    outbox = []
    handle_caller_packet(primary, 0.1, make_request(), outbox)
    assert outbox == []
    give_first_lease(primary, outbox)
    assert any(
        isinstance(one, ToPeer) and one.instance_id == OWNERS[1]
        for one in outbox
    )


def test_an_owner_that_lost_its_lease_or_stops_does_not_wait():
    group = make_group()
    for tables in group.values():
        tables.membership = Membership(1, {}, (), 0, active_at=0)
    lost, stops = group[OWNERS[1]], group[OWNERS[2]]
    lost.lease_until = 0.05
    stops.lease_until = NEVER
    stops.is_stopping = True
    assert not awaits_first_lease(lost)
    assert not awaits_first_lease(stops)


def change_view(tables, epoch, names):
    tables.view = View(epoch, members(names))
    tables.owners_by_bucket.clear()
    update_owner_history(tables, 0.1)


def send_request_during_view_change(group, ahead):
    """Send a request while some owners already have view 2."""
    for name in ahead:
        change_view(group[name], 2, NAMES)
    return send_request(group, make_request(), 0.1)


@pytest.mark.parametrize('position', [1, 2])
def test_a_request_dropped_by_an_owner_with_a_newer_view_is_restarted(position):
    group = make_group()
    primary = group[OWNERS[0]]
    primary.membership = Membership(1, {}, (), 0, active_at=0)
    assert send_request_during_view_change(group, [OWNERS[position]]) == []
    for name in NAMES:
        change_view(group[name], 2, NAMES)
    outbox = []
    replay_held_packets(primary, 0.2, outbox)
    sent = deliver_messages(group, outbox, 0.2)
    assert [type(one) for one in sent] == [ToBackend]
    # The caller repeats the request: no owner forwards it again.
    assert send_request(group, make_request(), 0.3) == []


@pytest.mark.parametrize('position', [1, 2])
def test_a_dropped_request_is_handed_over_to_the_next_primary_owner(position):
    """Guards against an unknown outcome when a primary owner leaves."""
    group = make_group()
    leaving = group[OWNERS[0]]
    leaving.membership = Membership(1, {}, (), 0, active_at=0)
    rest = [name for name in NAMES if name != OWNERS[0]]
    change_view(group[OWNERS[position]], 2, rest)
    assert send_request(group, make_request(), 0.1) == []
    for name in NAMES:
        change_view(group[name], 2, rest)
    outbox = []
    replay_held_packets(leaving, 0.2, outbox)
    [handed_over] = outbox
    sent = deliver_messages(group, outbox, 0.2)
    assert [type(one) for one in sent] == [ToBackend]
    # Neither a late copy of the message nor the caller makes it run again.
    assert deliver_messages(group, [handed_over], 0.3) == []
    next_primary = group[handed_over.instance_id]
    known = next_primary.backends_by_id['s1']
    handle_request(next_primary, 0.3, make_request(), known, outbox)
    assert deliver_messages(group, outbox, 0.3) == []


def test_a_request_is_handed_over_with_its_remaining_time():
    """Guards against an outcome after the deadline of the caller."""
    group = make_group()
    leaving = group[OWNERS[0]]
    leaving.membership = Membership(1, {}, (), 0, active_at=0)
    rest = [name for name in NAMES if name != OWNERS[0]]
    change_view(group[OWNERS[1]], 2, rest)
    packet = make_request(deadline_ms=2000)
    assert send_request(group, packet, 0.1) == []
    for name in NAMES:
        change_view(group[name], 2, rest)
    outbox = []
    replay_held_packets(leaving, 0.6, outbox)
    [handed_over] = outbox
    [sent] = deliver_messages(group, outbox, 0.6)
    assert sent.packet.deadline_ms == pytest.approx(1500, abs=1)
    key = request_key(packet.flow, packet.request_id)
    next_primary = group[handed_over.instance_id]
    record = next_primary.requests.records_by_key[key]
    assert record.deadline_at == pytest.approx(2.1, abs=0.002)


def test_a_restarted_owner_does_not_vouch_for_its_earlier_start():
    """Guards against a request that runs again after an owner restarted.

    A late message may install a view that names the earlier start, whose
    requests the new process does not know.
    """
    group = make_group()
    for name in NAMES:
        change_view(group[name], 2, NAMES)
    primary, outbox = group[OWNERS[0]], []
    known = primary.backends_by_id['s1']
    handle_request(primary, 0.1, make_request(), known, outbox)
    delayed = list(outbox)
    [send] = deliver_messages(group, outbox, 0.1)
    assert isinstance(send, ToBackend)
    restarted = BalancerTables(OWNERS[1], 'dc', View(0, {}))
    restarted.membership = Membership(2, {}, (), 0, active_at=0)
    store_announcement(restarted, 0, SERVER)
    group[OWNERS[1]] = restarted
    starts = dict.fromkeys(NAMES, 1)
    restarted.view = View(2, members(NAMES), starts)
    update_owner_history(restarted, 0.2)
    remaining = [name for name in NAMES if name != OWNERS[2]]
    for name, tables in group.items():
        change_view(tables, 3, remaining)
        tables.lease_until = 100
        if name == OWNERS[1]:
            tables.view = View(3, members(remaining), {**starts, name: 2})
    assert deliver_messages(group, delayed, 0.4) == []


def test_a_request_handed_over_for_another_view_is_not_started():
    """Guards against a start by two primary owners of different views."""
    group = make_group()
    chain = RequestChain(
        1, make_request(), 'werkstatt', 's1', '', True, (), OWNERS[0]
    )
    rest = [name for name in NAMES if name != OWNERS[0]]
    for name in NAMES:
        change_view(group[name], 3, rest)
    outbox = []
    next_primary = group[select_owners(bucket_of(FLOW), rest)[0]]
    handle_request_message(next_primary, 0.2, ChainDropped(2, chain), outbox)
    assert outbox == []


def test_a_chain_waits_for_a_newer_view_that_an_owner_has_heard_of():
    """Guards against a chain that is dropped without notice."""
    group = make_group()
    owner = group[OWNERS[1]]
    owner.membership = Membership(1, {}, (), 0, active_at=0)
    owner.membership.fence_epoch = 2
    assert send_request(group, make_request(), 0.1) == []
    for name in NAMES:
        change_view(group[name], 2, NAMES)
    outbox = []
    replay_held_packets(owner, 0.2, outbox)
    sent = deliver_messages(group, outbox, 0.2)
    assert [type(one) for one in sent] == [ToBackend]


def test_a_dropped_request_that_the_last_owner_has_sent_stays_stopped():
    group = make_group()
    primary, last = group[OWNERS[0]], group[OWNERS[2]]
    assert len(send_request(group, make_request())) == 1
    key = request_key(FLOW, make_request().request_id)
    chain = RequestChain(
        1,
        make_request(),
        'werkstatt',
        's1',
        '',
        True,
        (),
        OWNERS[0],
    )
    for name in NAMES:
        change_view(group[name], 2, NAMES)
    outbox = []
    handle_request_message(last, 0.2, chain, outbox)
    assert outbox == []
    # Even an impossible ChainDropped makes no owner forward it again.
    handle_request_message(primary, 0.2, ChainDropped(2, chain), outbox)
    assert deliver_messages(group, outbox, 0.2) == []
    assert last.requests.records_by_key[key].is_chain_finished


def test_a_restarted_owner_does_not_report_a_dropped_chain():
    chain = RequestChain(
        1, make_request(), 'werkstatt', 's1', '', True, (), OWNERS[0]
    )
    restarted = BalancerTables(OWNERS[2], 'dc', View(2, members(NAMES)))
    outbox = []
    handle_request_message(restarted, 0.2, chain, outbox)
    assert outbox == []
    assert restarted.counters['werkstatt', 'request-chain-stale'] == 1


def test_an_id_of_the_previous_view_is_not_forwarded_again():
    group = make_group()
    send_request(group, make_request())
    rest = [name for name in NAMES if name != OWNERS[0]]
    for name in rest:
        group[name].view = View(2, members(rest))
        group[name].owners_by_bucket.clear()
    new_primary = select_owners(bucket_of(FLOW), rest)[0]
    outbox = []
    tables = group[new_primary]
    known = tables.backends_by_id['s1']
    handle_request(tables, 1, make_request(), known, outbox)
    assert deliver_messages(group, outbox, 1) == []
    handle_request(tables, 3, make_request(), known, outbox)
    assert outcomes(deliver_messages(group, outbox, 3)) == [
        ('Unknown', 'already-forwarded')
    ]


def restarted_group():
    """Make a group in which no owner has a complete request history."""
    group = {name: make_tables(name, epoch=7) for name in NAMES}
    assert not any(
        has_complete_history(group[name], 0, FLOW) for name in OWNERS
    )
    return group


def test_owners_without_complete_history_reply_cannot_rule_out():
    group = restarted_group()
    assert outcomes(send_request(group, make_request())) == [
        ('Unknown', 'cannot-rule-out')
    ]


def test_new_owners_forward_requests_after_the_record_lifetime():
    group = restarted_group()
    [send] = send_request(group, make_request(), 121.0)
    assert isinstance(send, ToBackend)


def test_a_new_owner_fetches_the_earlier_ids():
    group = make_group()
    send_request(group, make_request())
    joined = make_tables(OWNERS[0], epoch=2)
    for name in NAMES:
        if name != OWNERS[0]:
            group[name].view = View(2, members(NAMES))
            update_owner_history(group[name], 1)
    group[OWNERS[0]] = joined
    for _ in range(40):
        outbox = []
        query_request_history(joined, 1, outbox)
        deliver_messages(group, outbox, 1)
    assert has_complete_history(joined, 1, FLOW)
    assert outcomes(send_request(group, make_request(), 1)) == [
        ('Unknown', 'already-forwarded')
    ]


def test_without_a_lease_no_request_is_reported_as_not_run():
    tables = make_tables(OWNERS[0])
    outbox = []
    reply_without_lease(tables, make_request(), outbox)
    assert outcomes(outbox) == [('Unknown', 'no-lease')]


@pytest.mark.parametrize(
    ('idempotent', 'expected'),
    [(False, [('NotRun', 'shed')]), (True, [])],
)
def test_only_a_shed_non_idempotent_request_is_reported_as_not_run(
    idempotent, expected
):
    group = make_group()
    packet = make_request(idempotent=idempotent)
    send_request(group, packet)
    outbox = []
    shed = Shed(packet.flow, packet.request_id)
    handle_shed(group[OWNERS[1]], shed, outbox)
    assert outcomes(deliver_messages(group, outbox)) == expected


def test_a_request_without_an_answer_is_unknown_by_its_deadline():
    group = make_group()
    send_request(group, make_request())
    outbox = []
    run_request_timers(group[OWNERS[0]], 1.9, outbox)
    replies = [send for send in outbox if isinstance(send, ToCaller)]
    assert outcomes(replies) == [('Unknown', 'deadline')]


def fill_window(group):
    """Fill every slot at the server, and one slot in the queue."""
    sent = []
    for number in range(100):
        sent += send_request(group, make_request(number))
        records = group[OWNERS[0]].requests.records_by_key.values()
        if any(one.state is RequestState.WAITING for one in records):
            return number
    raise AssertionError('no request was queued')


def test_a_queued_request_can_be_cancelled():
    group = make_group()
    number = fill_window(group)
    primary = group[OWNERS[0]]
    outbox = []
    cancel = Cancel(FLOW, make_request(number).request_id)
    known = primary.backends_by_id['s1']
    handle_cancel(primary, 0, cancel, known, outbox)
    assert outcomes(deliver_messages(group, outbox)) == [
        ('NotRun', 'cancelled')
    ]


def test_a_cancellation_reaches_the_server():
    group = make_group()
    packet = make_request()
    send_request(group, packet)
    primary = group[OWNERS[0]]
    outbox = []
    cancel = Cancel(FLOW, packet.request_id)
    handle_cancel(primary, 0, cancel, primary.backends_by_id['s1'], outbox)
    assert outcomes(outbox) == [('Cancel', ''), ('Unknown', 'cancelled')]


def test_non_idempotent_requests_leave_the_queue_first():
    group = make_group()
    fill_window(group)
    primary = group[OWNERS[0]]
    window = primary.requests.windows_by_backend['s1']
    outbox = []
    known = primary.backends_by_id['s1']
    idempotent = make_request(200, idempotent=True)
    handle_request(primary, 0, idempotent, known, outbox)
    send_request(group, make_request(201))
    waiting = len(window.non_idempotent_keys), len(window.idempotent_keys)
    answer = Answer(FLOW, make_request(0).request_id, 0, 1, b'')
    handle_answer(primary, answer, outbox)
    run_request_timers(primary, 0.1, outbox)
    assert (len(window.non_idempotent_keys), len(window.idempotent_keys)) == (
        waiting[0] - 1,
        waiting[1],
    )


def test_retries_are_bounded_by_the_budget():
    tables = make_tables('b1')
    spent = [spend_retry_token(tables, 'katalog') for _ in range(20)]
    assert spent == [True] * 10 + [False] * 10
    assert spend_retry_token(tables, 'werkstatt')


@pytest.mark.parametrize('forwards', range(1, 6))
def test_backoff_doubles_within_its_jitter(forwards):
    longest = 0.25 * 2 ** (forwards - 1)
    waits = {backoff_seconds(bytes((n,)), forwards) for n in range(100)}
    assert len(waits) > 50
    assert all(longest / 2 <= wait <= longest for wait in waits)


def test_two_callers_may_choose_the_same_id():
    group = make_group()
    packet = make_request()
    other = msgspec.structs.replace(packet, flow=b'CALLER' + b'server')
    keys = {request_key(one.flow, one.request_id) for one in (packet, other)}
    assert len(keys) == 2
    assert len(send_request(group, packet)) == 1


def test_an_unconfirmed_refusal_is_never_reported_as_not_run():
    primary = make_tables(OWNERS[0])
    outbox = []
    handle_request(primary, 0, make_request(), None, outbox)
    run_request_timers(primary, 1.9, outbox)
    handle_request(primary, 1.95, make_request(), None, outbox)
    replies = [send for send in outbox if isinstance(send, ToCaller)]
    assert outcomes(replies) == [
        ('Unknown', 'deadline'),
        ('Unknown', 'already-forwarded'),
    ]
