"""Packet paths through a balancer that forwards by tokens."""

import functools
import itertools
import json
import logging
import os
import time
from collections.abc import Iterator

from pythonjsonlogger.json import JsonFormatter

from mustardhold.adapters.clock import SystemClock
from mustardhold.adapters.documents import pack_document
from mustardhold.adapters.logs import FIELDS, BoundedHandler, make_writer
from mustardhold.daemons.packet_loop import handle_batch
from mustardhold.daemons.token_balancer import make_token_balancer
from mustardhold.daemons.token_packets import (
    Codecs,
    TokenBalancer,
    handle_datagram,
)
from mustardhold.daemons.token_tables import install_document
from mustardhold.platform.configurations import read_configuration
from mustardhold.platform.packets import ACK, HEADER, SYN, make_packet_codec
from mustardhold.systems.directory import merge_report, token_of
from mustardhold.tables.directory import ServerReport, ServerState
from mustardhold.tables.options import TokenBalancerOptions
from tools.measurements.packet_paths import (
    PAYLOAD,
    MakeDatagram,
    PacketPath,
    Testbed,
)
from tools.processes import free_address, free_tcp_address

TOKEN = 'by token'
OPENING = 'opening by token'
UNLOGGED = 'opening by token, no log'
SERVICE_IP, SERVICE_PORT = 0xC6120001, 443
CALLER_IP = 0x64400007
CALLER_PORTS = 60_000
DOCUMENT = {
    'version': 1,
    'routes': [
        {
            'name': 'r-1',
            'host': '198.18.0.1',
            'path_prefix': f'/{SERVICE_PORT}/',
            'kind': 'safe',
            'timeout_ms': 1000,
            'service': 'feed',
        }
    ],
    'services': [{'name': 'feed', 'health_path': '/'}],
}


def make_logger(name: str, *, is_writing: bool) -> logging.Logger:
    """Create a logger to the null device, with or without records written."""
    log = logging.getLogger(f'measure.{name}')
    log.propagate = False
    log.setLevel(logging.INFO if is_writing else logging.CRITICAL)
    handler = BoundedHandler(
        make_writer(os.open(os.devnull, os.O_WRONLY)), time.monotonic
    )
    handler.setFormatter(JsonFormatter(FIELDS))
    log.handlers = [handler]
    return log


def make_balancer(testbed: Testbed, log: logging.Logger) -> TokenBalancer:
    """Create a balancer that has one server and a configuration."""
    options = TokenBalancerOptions(
        'b1',
        'dc',
        free_address(),
        free_tcp_address(),
        free_tcp_address(),
        free_tcp_address(),
        (),
    )
    codecs = Codecs(make_packet_codec(options.data_address), read_configuration)
    balancer = make_token_balancer(options, codecs, SystemClock(), log)
    merge_report(
        balancer.tables.directory, time.monotonic(), make_server_report(testbed)
    )
    raw = json.dumps(DOCUMENT).encode()
    install_document(balancer, pack_document(1, raw))
    return balancer


def make_server_report(testbed: Testbed) -> ServerReport:
    """Create the report of a server at the address of the sink."""
    address = testbed.sink_address
    return ServerReport(
        'i-a1', 1, 1, 'feed', address, 'dc', 2, ServerState.READY
    )


def pack_packet(port: int, flags: int, token: int, payload: bytes) -> bytes:
    """Encode a packet of a caller."""
    ends = (SERVICE_PORT, port, SERVICE_IP, CALLER_IP)
    head = HEADER.pack(1, token, 7, 0, flags, 0, len(payload), *ends)
    return head + payload


def make_data_datagram(testbed: Testbed, token: int) -> bytes:
    """Encode a data packet of a random flow."""
    port = testbed.rng.randrange(1, CALLER_PORTS)
    return pack_packet(port, ACK, token, PAYLOAD)


def generate_openings() -> Iterator[bytes]:
    """Yield openings of consecutive flows."""
    for port in itertools.cycle(range(1, CALLER_PORTS)):
        yield pack_packet(port, SYN, 0, b'')


def token_path(
    testbed: Testbed,
    name: str,
    make_datagram: MakeDatagram,
    *,
    is_logging: bool,
) -> PacketPath:
    """Create the path of packets from callers."""
    balancer = make_balancer(testbed, make_logger(name, is_writing=is_logging))
    handle = functools.partial(handle_datagram, balancer)
    drain = functools.partial(
        handle_batch, balancer.sock.recv, handle, balancer.error_reporter
    )
    return PacketPath(name, balancer.sock, make_datagram, drain)


def token_paths(testbed: Testbed) -> Iterator[PacketPath]:
    """Create all paths of a balancer that forwards by tokens."""
    token = token_of(make_server_report(testbed))
    make_datagram = functools.partial(make_data_datagram, testbed, token)
    yield token_path(testbed, TOKEN, make_datagram, is_logging=True)
    for name, is_logging in ((OPENING, True), (UNLOGGED, False)):
        next_opening = functools.partial(next, generate_openings())
        yield token_path(testbed, name, next_opening, is_logging=is_logging)
