"""Reads datagrams from non-blocking sockets in bounded batches."""

import socket
from collections.abc import Callable
from typing import TypeVar

import trio

from mustardhold.daemons.error_reporting import ErrorReporter, report_error
from mustardhold.systems.addresses import split_address
from mustardhold.tables.constants import PACKETS_PER_BATCH

RECEIVE_BYTES = 65_535
BUFFER_BYTES = 4_194_304

Received = TypeVar('Received')
Receive = Callable[[int], Received]
ReceivedHandler = Callable[[Received], None]


def bind_socket(address: str) -> socket.socket:
    """Open a non-blocking UDP socket on ``"ip:port"``."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.setblocking(False)
    sock.bind(split_address(address))
    return sock


async def run_packet_loop(
    sock: socket.socket,
    receive: Receive[Received],
    handle: ReceivedHandler[Received],
    error_reporter: ErrorReporter,
    on_batch: Callable[[int], None],
) -> None:
    """Handle each datagram, with a trio checkpoint between two batches.

    Parameters
    ----------
    receive
        Reads a datagram: ``recv`` or ``recvfrom`` of the socket.
    on_batch
        Called with the number of datagrams of each batch.
    """
    while True:
        await trio.lowlevel.wait_readable(sock)
        on_batch(handle_batch(receive, handle, error_reporter))


def handle_batch(
    receive: Receive[Received],
    handle: ReceivedHandler[Received],
    error_reporter: ErrorReporter,
) -> int:
    """Handle the waiting datagrams, one batch at most; return their number."""
    for handled in range(PACKETS_PER_BATCH):
        try:
            received = receive(RECEIVE_BYTES)
        except BlockingIOError:
            return handled
        handle_guarded(handle, received, error_reporter)
    return PACKETS_PER_BATCH


def handle_guarded(
    handle: ReceivedHandler[Received],
    received: Received,
    error_reporter: ErrorReporter,
) -> None:
    """Handle a datagram; report an exception instead of raising it."""
    try:
        handle(received)
    except Exception as error:  # a bad packet must not end the loop
        report_error(error_reporter, 'packet-failed', error)
