"""Tests that each table, queue and buffer of a balancer has a limit.

When the limit is reached, further entries are refused and counted.
"""

from collections.abc import Callable
from dataclasses import dataclass

import pytest

from mustardhold.systems import (
    admission,
    announcements,
    answers,
    flow_opening,
    flow_records,
    handover,
    packet_holding,
    request_handover,
    request_records,
)
from mustardhold.systems.request_chain import handle_request_chain
from mustardhold.systems.request_history import update_owner_history
from mustardhold.systems.requests import handle_request
from mustardhold.systems.routing import install_table
from mustardhold.tables.backends import BackendServer, BackendState
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.outbox import ToCaller
from mustardhold.tables.packets import Answer, Open, Request, Upload
from mustardhold.tables.peers import RecordChain
from mustardhold.tables.request_messages import RequestChain, RequestHistoryPage
from mustardhold.tables.routing import Pool, Route, RoutingTable
from mustardhold.tables.views import Member, View

LIMIT = 3
TRIES = 12
SERVICE = b'\x0a\x14\x00\x01\x01\xbb'
NAMES = ('b1', 'b2', 'b3')


def make_tables():
    """Return a balancer that owns every bucket, with one two-slot server."""
    members = {name: Member(name, 'dc', '127.0.0.1:1') for name in NAMES}
    tables = BalancerTables('b1', 'dc', View(1, members))
    tables.owners_by_bucket = dict.fromkeys(range(256), NAMES)
    table = RoutingTable(
        1,
        {'werkstatt': Route('werkstatt', ('10.20.0.1:443',))},
        {'werkstatt': Pool('werkstatt')},
        {},
    )
    install_table(tables, table)
    announce(tables, 0)
    update_owner_history(tables, 0)
    return tables


def announce(tables, number):
    server = BackendServer(
        f's{number}',
        'werkstatt',
        'dc',
        f'127.0.0.1:{number + 1}',
        2,
        2000,
        0,
        0,
        BackendState.READY,
        1,
        1,
    )
    announcements.store_announcement(tables, 0, server)


def flow_of(number):
    return number.to_bytes(6, 'big') + SERVICE


def request_of(number):
    return Request(flow_of(1), number.to_bytes(16, 'big'), False, 2000, b'')


def open_flow(tables, number, outbox):
    packet = Open(flow_of(number))
    flow_opening.open_flow(tables, packet, None, NAMES, outbox)


def store_chain_record(tables, number, outbox):
    chain = RecordChain(1, flow_of(number), 'werkstatt', 's0', ())
    flow_records.handle_record_chain(tables, 0, chain, outbox)


def store_handed_over_record(tables, number, _):
    handover.store_record(tables, flow_of(number), 'werkstatt', 's0')


def admit_request(tables, number, outbox):
    known = tables.backends_by_id['s0']
    handle_request(tables, 0, request_of(number), known, outbox)


def store_chain_request(tables, number, outbox):
    chain = RequestChain(1, request_of(number), 'werkstatt', 's0', '', True, ())
    handle_request_chain(tables, 0, chain, outbox)


def report_answer(tables, number, outbox):
    tables.owners_by_bucket = dict.fromkeys(range(256), ('b2', 'b3', 'b1'))
    answer = Answer(flow_of(1), request_of(number).request_id, 0, 2, b'')
    answers.handle_answer(tables, answer, outbox)


def store_history_page(tables, number, _):
    bucket = number % 256
    spans = tables.requests.history.spans_by_bucket
    spans[bucket].is_complete = False
    entry = request_handover.ENTRY.pack(number.to_bytes(8, 'big'), 9)
    page = RequestHistoryPage('b2', 1, bucket, 0, 1, entry)
    request_handover.handle_history_page(tables, 0, page)


def announce_server(tables, number, _):
    announce(tables, number)


def hold_flow_packet(tables, number, outbox):
    packet = Upload(flow_of(number), b'')
    packet_holding.hold_for_record(tables, 0, packet, {'b2'}, outbox)


def hold_packet_of_same_flow(tables, _, outbox):
    packet = Upload(flow_of(1), b'')
    packet_holding.hold_for_record(tables, 0, packet, {'b2'}, outbox)


def hold_for_newer_view(tables, number, _):
    packet_holding.hold_for_view(tables, 0, Upload(flow_of(number), b''), 0)


def count_handed_over_requests(tables):
    return sum(map(len, tables.requests.handed_over_by_bucket.values()))


@dataclass(frozen=True, slots=True)
class Bound:
    """A bounded table, and how the test fills and observes it.

    Attributes
    ----------
    fill
        Adds one entry.
    counter
        Outcome that is counted when the table is full.
    reply
        Packet type that the caller then receives; empty if none.
    """

    module: object
    constant: str
    fill: Callable
    size: Callable
    counter: str
    reply: str = ''


BOUNDS = {
    'flows opened here': Bound(
        flow_opening,
        'MAX_FLOW_RECORDS',
        open_flow,
        lambda tables: len(tables.flows_by_key),
        'open-refused-table-full',
        'OpenRefused',
    ),
    'flows of other owners': Bound(
        flow_records,
        'MAX_FLOW_RECORDS',
        store_chain_record,
        lambda tables: len(tables.flows_by_key),
        'record-table-full',
        'OpenRefused',
    ),
    'flows handed over': Bound(
        handover,
        'MAX_FLOW_RECORDS',
        store_handed_over_record,
        lambda tables: len(tables.flows_by_key),
        'record-table-full',
    ),
    'requests admitted here': Bound(
        request_records,
        'MAX_REQUEST_RECORDS',
        admit_request,
        lambda tables: len(tables.requests.records_by_key),
        'request-table-full',
        'Unknown',
    ),
    'requests of other owners': Bound(
        request_records,
        'MAX_REQUEST_RECORDS',
        store_chain_request,
        lambda tables: len(tables.requests.records_by_key),
        'request-table-full',
    ),
    'requests that wait': Bound(
        admission,
        'MAX_WAITING_REQUESTS',
        admit_request,
        lambda tables: tables.requests.waiting_by_service['werkstatt'],
        'request-queue-full',
    ),
    'requests handed over': Bound(
        request_handover,
        'MAX_REQUEST_RECORDS',
        store_history_page,
        count_handed_over_requests,
        'request-handover-full',
    ),
    'answers to report': Bound(
        answers,
        'MAX_ANSWER_REPORT_BYTES',
        report_answer,
        lambda tables: sum(
            map(len, tables.requests.answer_reports_by_owner.values())
        ),
        'answers-seen-full',
    ),
    'backend servers': Bound(
        announcements,
        'MAX_BACKEND_SERVERS',
        announce_server,
        lambda tables: len(tables.backends_by_id),
        'announcement-table-full',
    ),
    'packets held': Bound(
        packet_holding,
        'MAX_HELD_PACKETS',
        hold_flow_packet,
        lambda tables: tables.handover.held_packets,
        'hold-full',
    ),
    'packets held for a flow': Bound(
        packet_holding,
        'MAX_HELD_PER_FLOW',
        hold_packet_of_same_flow,
        lambda tables: tables.handover.held_packets,
        'hold-flow-full',
    ),
    'packets held for a view': Bound(
        packet_holding,
        'MAX_HELD_PACKETS',
        hold_for_newer_view,
        lambda tables: len(tables.handover.early_packets),
        'hold-full',
    ),
}


@pytest.mark.parametrize('bound', BOUNDS.values(), ids=BOUNDS)
def test_a_full_table_refuses_and_counts(bound, monkeypatch):
    monkeypatch.setattr(bound.module, bound.constant, LIMIT)
    monkeypatch.setattr(admission, 'IN_FLIGHT_PER_SLOT', 1)
    tables = make_tables()
    outbox = []
    for number in range(1, TRIES + 1):
        bound.fill(tables, number, outbox)
    assert bound.size(tables) <= LIMIT
    counts = {outcome: count for (_, outcome), count in tables.counters.items()}
    assert counts[bound.counter] > 0
    if bound.reply:
        replies = {
            type(send.packet).__name__
            for send in outbox
            if isinstance(send, ToCaller)
        }
        assert bound.reply in replies
