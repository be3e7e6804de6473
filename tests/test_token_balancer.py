"""Tests the balancer that forwards by tokens, on loopback sockets."""

import functools
import json
import logging
import signal
import socket
import struct
from dataclasses import replace
from datetime import timedelta

import msgspec
import pytest
import trio

from mustardhold.adapters.clock import SystemClock
from mustardhold.adapters.documents import pack_document
from mustardhold.daemons.link_sending import run_link_sender
from mustardhold.daemons.packet_loop import run_packet_loop
from mustardhold.daemons.token_balancer import (
    make_token_balancer,
    stop_gracefully,
)
from mustardhold.daemons.token_packets import Codecs, handle_datagram
from mustardhold.daemons.token_tables import handle_feed_reply, install_document
from mustardhold.platform.configurations import read_configuration
from mustardhold.platform.packets import HEADER, make_packet_codec
from mustardhold.systems import draining
from mustardhold.systems.addresses import split_address
from mustardhold.systems.directory import merge_report, token_of
from mustardhold.systems.token_forwarding import configuration_version, is_ready
from mustardhold.tables.configurations import NO_DOCUMENT, VersionedDocument
from mustardhold.tables.directory import ServerReport, ServerState
from mustardhold.tables.evacuations import EvacuationState
from mustardhold.tables.feed import FeedPosition, FeedReply, ReceivedReply
from mustardhold.tables.options import TokenBalancerOptions
from tools.processes import free_address, free_tcp_address

# An opening of 100.64.0.7:40001 to 198.18.0.1:443.
OPENING = bytes.fromhex(
    'a1b2c3d50000000011223344000000002000000001bb9c41c612000164400007'
)
DOCUMENT = pack_document(
    3,
    json.dumps(
        {
            'version': 3,
            'routes': [
                {
                    'name': 'r-1',
                    'host': '198.18.0.1',
                    'path_prefix': '/443/',
                    'kind': 'safe',
                    'timeout_ms': 1000,
                    'service': 'feed',
                }
            ],
            'services': [{'name': 'feed', 'health_path': '/'}],
        }
    ).encode(),
)
REPLY = ReceivedReply(
    FeedReply(FeedPosition('run-1', 1), (), 3, confirmed_ms=0), 0.0
)


@pytest.fixture
def link_bytes_per_second():
    return 0


@pytest.fixture
def balancer(link_bytes_per_second):
    options = TokenBalancerOptions(
        'balancer-1',
        'dc-1',
        free_address(),
        free_tcp_address(),
        free_tcp_address(),
        free_tcp_address(),
        (),
        link_bytes_per_second=link_bytes_per_second,
    )
    codecs = Codecs(make_packet_codec(options.data_address), read_configuration)
    made = make_token_balancer(
        options, codecs, SystemClock(), logging.getLogger('test')
    )
    yield made
    made.sock.close()


@pytest.fixture
def server():
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(('127.0.0.1', 0))
    sock.settimeout(20)
    yield sock
    sock.close()


def make_report(server):
    host, port = server.getsockname()
    return ServerReport(
        'i-a1', 1, 1, 'feed', f'{host}:{port}', 'dc-1', 2, ServerState.READY
    )


def make_packet(report, number):
    """Make a full packet of the opened flow, by its number."""
    header = (0, token_of(report), number * 1200, 9, 64, 0, 1200)
    ends = struct.unpack('!HHII', OPENING[20:])
    return HEADER.pack(*header, *ends) + bytes(1200)


@pytest.mark.parametrize('controls_admission', [True, False])
def test_admission_control_can_be_turned_off(balancer, controls_admission):
    options = msgspec.structs.replace(
        balancer.options,
        data_address=free_address(),
        controls_admission=controls_admission,
    )
    made = make_token_balancer(
        options, balancer.codecs, SystemClock(), balancer.log
    )
    made.sock.close()
    assert (made.tables.overload is not None) is controls_admission


@pytest.mark.parametrize('first', ['servers', 'configuration'])
def test_opening_before_the_first_tables_is_forwarded_once_they_arrive(
    balancer, server, first
):
    handle_datagram(balancer, OPENING)
    report = make_report(server)
    now = balancer.clock.monotonic()
    if first == 'configuration':
        install_document(balancer, DOCUMENT)
    merge_report(balancer.tables.directory, now, report)
    handle_feed_reply(balancer, REPLY)
    install_document(balancer, DOCUMENT)
    raw = server.recv(2048)
    assert raw[:8] == (0xA1).to_bytes(8, 'big')
    assert raw[16:] == OPENING[8:]
    assert not balancer.tables.held_by_key


def test_a_held_packet_that_fails_does_not_stop_the_others(
    balancer, server, monkeypatch
):
    other = OPENING[:23] + bytes([OPENING[23] + 1]) + OPENING[24:]
    handle_datagram(balancer, other)
    handle_datagram(balancer, OPENING)
    report = make_report(server)
    merge_report(balancer.tables.directory, balancer.clock.monotonic(), report)
    monkeypatch.setattr(
        balancer, 'codecs', make_failing_codecs(balancer.codecs, other)
    )
    install_document(balancer, DOCUMENT)
    assert server.recv(2048)[16:] == OPENING[8:]
    assert balancer.tables.counters['', 'packet-failed'] == 1


def make_failing_codecs(codecs, faulty):
    def read(raw):
        if raw == faulty:
            raise ValueError(raw)
        return codecs.packets.read(raw)

    return replace(codecs, packets=replace(codecs.packets, read=read))


@pytest.mark.parametrize(
    'document',
    [
        # A control instance that lost its disk has no configuration.
        NO_DOCUMENT,
        VersionedDocument(4, DOCUMENT.packed[:-9]),
        VersionedDocument(4, b''),
        VersionedDocument(4, b'not compressed'),
    ],
    ids=['none', 'truncated', 'empty', 'not-compressed'],
)
def test_unreadable_document_leaves_the_configuration_in_force(
    balancer, document
):
    install_document(balancer, DOCUMENT)
    install_document(balancer, document)
    assert configuration_version(balancer.tables) == 3


def test_unreadable_document_is_counted(balancer):
    install_document(balancer, VersionedDocument(4, b'not compressed'))
    assert balancer.tables.counters['', 'configuration-unreadable'] == 1


async def test_openings_that_arrive_during_a_planned_stop_are_forwarded(
    balancer, server, nursery, monkeypatch
):
    monkeypatch.setattr(draining, 'MIN_DRAIN_PERIOD', timedelta(seconds=0.2))
    monkeypatch.setattr(draining, 'DRAIN_QUIET_PERIOD', timedelta(seconds=0.4))
    install_document(balancer, DOCUMENT)
    now = balancer.clock.monotonic()
    merge_report(balancer.tables.directory, now, make_report(server))
    stopped = trio.Event()
    nursery.start_soon(stop_gracefully, balancer, stopped)
    nursery.start_soon(
        run_packet_loop,
        balancer.sock,
        balancer.sock.recv,
        functools.partial(handle_datagram, balancer),
        balancer.error_reporter,
        lambda _: None,
    )
    await trio.sleep(0.05)
    signal.raise_signal(signal.SIGTERM)
    for _ in range(10):
        assert not stopped.is_set()
        server.sendto(OPENING, split_address(balancer.options.data_address))
        with trio.fail_after(5):
            raw = await trio.to_thread.run_sync(server.recv, 2048)
        assert raw[16:] == OPENING[8:]
        await trio.sleep(0.1)
    with trio.fail_after(5):
        await stopped.wait()
    assert not is_ready(balancer.tables)


@pytest.mark.parametrize('link_bytes_per_second', [100_000])
async def test_burst_leaves_at_the_rate_of_the_link_also_during_a_stop(
    balancer, server, nursery, monkeypatch
):
    # A burst at once would overflow the queue of the link, and a stop must not
    # lose what is queued.
    monkeypatch.setattr(draining, 'MIN_DRAIN_PERIOD', timedelta(seconds=0.05))
    monkeypatch.setattr(draining, 'DRAIN_QUIET_PERIOD', timedelta(0))
    install_document(balancer, DOCUMENT)
    report, now = make_report(server), balancer.clock.monotonic()
    merge_report(balancer.tables.directory, now, report)
    stopped = trio.Event()
    nursery.start_soon(stop_gracefully, balancer, stopped)
    await trio.sleep(0.05)
    signal.raise_signal(signal.SIGTERM)
    await trio.sleep(0.01)
    for number in (3, 0, 2, 1, *range(15, 3, -1)):
        handle_datagram(balancer, make_packet(report, number))
    began_at = trio.current_time()
    nursery.start_soon(run_link_sender, balancer.link)
    with trio.fail_after(5):
        await stopped.wait()
    assert 0.15 < trio.current_time() - began_at < 1
    server.setblocking(False)
    received = [server.recv(2048)[8:] for _ in range(16)]
    numbers = [HEADER.unpack_from(raw)[2] // 1200 for raw in received]
    assert numbers == [3, 0, 2, 1, *range(4, 16)]


@pytest.mark.parametrize('link_bytes_per_second', [100_000])
async def test_queued_packet_that_cannot_be_sent_ends_no_balancer(
    balancer, server, nursery
):
    """Guards against an address out of range that ends the link's task."""
    install_document(balancer, DOCUMENT)
    odd = msgspec.structs.replace(make_report(server), address='10.0.0.9:80010')
    merge_report(balancer.tables.directory, balancer.clock.monotonic(), odd)
    nursery.start_soon(run_link_sender, balancer.link)
    for number in range(16):
        handle_datagram(balancer, make_packet(odd, number))
    with trio.fail_after(5):
        while balancer.tables.counters['', 'send-failed'] < 16:
            await trio.sleep(0.01)


def test_evacuations_are_installed_and_older_ones_ignored(balancer, caplog):
    """A reply that was held up must not end or begin an evacuation again."""
    caplog.set_level(logging.INFO)
    for revision in (5, 3, 5, 8):
        reply = msgspec.structs.replace(
            REPLY.reply, evacuations=EvacuationState(revision)
        )
        handle_feed_reply(balancer, ReceivedReply(reply, 0))
    logged = [
        line.revision
        for line in caplog.records
        if line.message == 'evacuated data centres changed'
    ]
    assert logged == [5, 8]
    assert balancer.feed.evacuations().revision == 8
    assert balancer.feed_client.evacuation_revision() == 8
