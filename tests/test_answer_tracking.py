"""Tests what a balancer learns of answers from callers' packets."""

from datetime import timedelta
from types import SimpleNamespace

import pytest

from mustardhold.systems.answer_counts import recent_answers, take_evidence
from mustardhold.systems.answer_tracking import check_due, track_packet
from mustardhold.tables.answer_tracking import (
    MAX_TRACKED_FLOWS,
    AnswerTracking,
    RecentAnswers,
    ServerOutcomes,
)
from mustardhold.tables.configurations import (
    RequestKind,
    ServiceAddress,
    ServiceRoute,
)
from mustardhold.tables.forwarding import CallerPacket

ADDRESS = ServiceAddress(1, 80)
ROUTE = ServiceRoute(
    'orders',
    ADDRESS,
    RequestKind.SAFE,
    (),
    target_latency=timedelta(milliseconds=500),
)
LIMIT = 2**32


def send(tracking, now, **changes):
    """Track a packet: sequence, length, ack, flow, token, fin and rst."""
    at = {'seq': 0, 'len': 0, 'ack': 0, 'flow': 1, 'token': 7} | changes
    packet = CallerPacket(
        at['flow'].to_bytes(12, 'big'),
        ADDRESS,
        at['token'],
        at['ack'] % LIMIT,
        0,
        False,
        at.get('rst', False),
        at['seq'] % LIMIT,
        at['len'],
        at.get('fin', False),
    )
    report = SimpleNamespace(service='shop')
    server = SimpleNamespace(token=at['token'], report=report)
    track_packet(tracking, now, packet, server, ROUTE)


def outcomes(tracking, token=7):
    known = tracking.services_by_name['shop'].outcomes_by_token.get(token)
    return known and (known.late, known.short, known.good)


def teach_usual(tracking, length=3_000):
    for flow in range(100, 125):
        send(tracking, 0, flow=flow, token=1, len=50)
        send(tracking, 0, flow=flow, token=1, ack=length, fin=True)


@pytest.mark.parametrize('start', [0, LIMIT - 60, LIMIT - 1_000])
@pytest.mark.parametrize(
    ('steps', 'expected'),
    [
        ([(0.1, {'ack': 3_000, 'fin': True})], (0, 0, 1)),
        ([(0.1, {'ack': 900, 'fin': True})], (0, 1, 0)),
        ([(0.6, {'ack': 3_000, 'fin': True})], (1, 0, 0)),
        ([], (1, 0, 0)),
        ([(0.2, {'seq': 0, 'len': 50})], (1, 0, 0)),
        ([(0.1, {'fin': True})], None),
        ([(0.1, {'rst': True})], None),
        ([(0.2, {'seq': 50, 'len': 50}), (0.6, {'ack': 3_000})], (0, 0, 1)),
        ([(0.1, {'ack': 900}), (0.2, {'ack': 3_000})], (0, 0, 1)),
        ([(0.1, {'ack': 3_000}), (0.2, {'ack': 900})], (0, 0, 1)),
        ([(0.1, {'ack': 900})], (0, 1, 0)),
        ([(0.1, {'ack': 900, 'seq': 50, 'len': 50})], (1, 1, 0)),
    ],
    ids=[
        'good',
        'short',
        'answered-late',
        'never-answered',
        'repeated-request',
        'given-up',
        'aborted',
        'upload-in-two-packets',
        'answer-in-parts',
        'reordered',
        'quiet',
        'next-request',
    ],
)
def test_wrong_classification(start, steps, expected):
    tracking = AnswerTracking()
    teach_usual(tracking)
    send(tracking, 1, seq=start, ack=start, len=50)
    for after, changes in steps:
        moved = {'ack': 0, 'seq': 0} | changes
        moved['ack'] += start
        moved['seq'] += start
        send(tracking, 1 + after, **moved)
    for tenth in range(5, 10):
        check_due(tracking, 1 + tenth / 4)
    assert outcomes(tracking) == expected


def test_upload_in_random_order_counts_from_its_last_packet():
    tracking = AnswerTracking()
    for index, number in enumerate((3, 0, 2, 1)):
        send(tracking, 1 + index * 0.2, seq=number * 1_200, len=1_200)
    check_due(tracking, 2)
    send(tracking, 2.05, ack=900, fin=True)
    assert outcomes(tracking) == (0, 0, 1)


def test_recent_answers_forget_what_is_older_than_a_second():
    tracking = AnswerTracking()
    for flow in range(6):
        send(tracking, 1, flow=flow, token=flow % 3, len=50)
    for flow in (1, 2, 4, 5):
        send(tracking, 1.2, flow=flow, token=flow % 3, ack=90)
    check_due(tracking, 1.6)
    assert recent_answers(tracking, 'shop', 1.7) == RecentAnswers(6, 4, 2, 3, 1)
    assert recent_answers(tracking, 'shop', 2.1) == RecentAnswers(0, 4, 2, 3, 1)
    assert recent_answers(tracking, 'shop', 9) == RecentAnswers()


def test_suspended_process_does_not_blame_the_servers():
    tracking = AnswerTracking()
    check_due(tracking, 1)
    send(tracking, 1, len=50)
    check_due(tracking, 4)
    check_due(tracking, 4.1)
    assert outcomes(tracking) is None


def test_tables_stay_bounded_and_evict_the_oldest():
    tracking = AnswerTracking()
    for flow in range(2 * MAX_TRACKED_FLOWS):
        send(tracking, 1 + flow / 400, flow=flow, len=50)
    assert len(tracking.flows_by_key) == len(tracking.due) == MAX_TRACKED_FLOWS
    assert tracking.untracked
    check_due(tracking, 90)
    assert not tracking.due


def test_many_requests_cost_more_than_a_sample():
    tracking = AnswerTracking()
    for flow in range(1_000):
        send(tracking, 1 + flow / 2_000, flow=flow, len=50)
    assert recent_answers(tracking, 'shop', 1.6).begun <= 250
    assert len(tracking.flows_by_key) <= 250


def test_sample_hides_the_load():
    """2,000 requests/s of 0.1 s each: 200 in progress."""
    tracking = AnswerTracking()
    for flow in range(1_000):
        now = 1 + flow / 2_000
        send(tracking, now, flow=flow, len=50)
        send(tracking, now + 0.1, flow=flow, ack=900)
    service = tracking.services_by_name['shop']
    service.outcomes_by_token[7] = ServerOutcomes(late=1)
    service.has_bad = True
    post = take_evidence(service, 1.5, 'b-1')
    assert post.busy_ms / post.age_ms == pytest.approx(200, rel=0.05)
