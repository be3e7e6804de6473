"""Tests that flows go through their owner and stay at one server."""

import random

from mustardhold.systems.addresses import pack_address
from mustardhold.systems.affinity import (
    handle_backend_packet,
    handle_caller_packet,
)
from mustardhold.systems.announcements import store_announcement
from mustardhold.systems.ownership import owners_of_flow
from mustardhold.systems.peers import handle_peer_message
from mustardhold.systems.routing import install_table
from mustardhold.tables.backends import BackendServer, BackendState
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.coordination import Membership
from mustardhold.tables.outbox import ToBackend, ToCaller, ToPeer
from mustardhold.tables.packets import (
    Answer,
    Open,
    Opened,
    OpenRefused,
    Upload,
)
from mustardhold.tables.routing import Pool, Route, RoutingTable
from mustardhold.tables.views import Member, View

SERVICE = '10.20.0.1:443'
NAMES = ('b1', 'b2', 'b3', 'b4', 'b5')


def make_group() -> dict[str, BalancerTables]:
    members = {name: Member(name, 'dc', '127.0.0.1:1') for name in NAMES}
    table = RoutingTable(
        2,
        {'werkstatt': Route('werkstatt', (SERVICE,))},
        {'werkstatt': Pool('werkstatt')},
        {},
    )
    group = {}
    for name in NAMES:
        tables = BalancerTables(name, 'dc', View(1, members))
        install_table(tables, table)
        for number in range(3):
            server = BackendServer(
                f's{number}',
                'werkstatt',
                'dc',
                f'127.0.0.1:{number + 10}',
                2,
                2000,
                0,
                0,
                BackendState.READY,
                1,
                1,
            )
            store_announcement(tables, 0, server)
        group[name] = tables
    return group


def deliver(group, name, packet):
    """Pass a packet through the group; return what it sends outside."""
    outbox = []
    handle_caller_packet(group[name], 0, packet, outbox)
    sent_outside = []
    while outbox:
        send = outbox.pop(0)
        if isinstance(send, ToPeer):
            receiver = group[send.instance_id]
            handle_peer_message(receiver, 0, send.message, outbox)
        else:
            sent_outside.append(send)
    return sent_outside


def flow_key(number: int, service: str = SERVICE) -> bytes:
    return pack_address(f'127.0.0.1:{number}') + pack_address(service)


def test_every_balancer_sends_a_flow_to_one_server():
    group = make_group()
    rng = random.Random(1)
    for number in range(1, 200):
        flow = flow_key(number)
        opened = deliver(group, rng.choice(NAMES), Open(flow))
        later = [deliver(group, name, Upload(flow, b'')) for name in NAMES]
        addresses = {
            send.address for sends in [opened, *later] for send in sends
        }
        assert len(addresses) == 1


def test_record_is_at_every_owner_before_the_server_sees_the_flow():
    group = make_group()
    flow = flow_key(7)
    [send] = deliver(group, 'b1', Open(flow))
    assert isinstance(send, ToBackend)
    owners = owners_of_flow(group['b1'], flow)
    assert all(flow in group[owner].flows_by_key for owner in owners)


def test_unknown_service_is_refused():
    group = make_group()
    flow = flow_key(7, '10.9.9.9:1')
    [send] = deliver(group, 'b1', Open(flow))
    assert isinstance(send, ToCaller)
    assert isinstance(send.packet, OpenRefused)


def test_older_table_is_never_installed():
    [tables, *_] = make_group().values()
    assert not install_table(tables, RoutingTable(1, {}, {}, {}))
    assert tables.routing.version == 2


def test_after_a_freeze_only_parts_of_answers_are_forwarded():
    [tables, *_] = make_group().values()
    tables.membership = Membership(1, {}, (), 0, active_at=0)
    outbox = []
    flow = flow_key(7)
    for packet in (Opened(flow, 's1'), Answer(flow, b'r' * 16, 0, 1, b'')):
        handle_backend_packet(tables, 30, packet, outbox)
    assert [type(send.packet) for send in outbox] == [Answer]
