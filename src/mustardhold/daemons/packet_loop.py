"""Packets in bounded batches on non-blocking sockets."""

import socket
from collections.abc import Callable

import trio

from mustardhold.systems.addresses import split_address
from mustardhold.tables.constants import PACKETS_PER_BATCH

RECEIVE_BYTES = 65_535
BUFFER_BYTES = 4_194_304

TakeRaw = Callable[[bytes], None]


def bind_socket(address: str) -> socket.socket:
    """Open a non-blocking UDP socket on ``"ip:port"``."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.setblocking(False)
    sock.bind(split_address(address))
    return sock


async def run_packet_loop(sock: socket.socket, take_raw: TakeRaw) -> None:
    """Hand each datagram over, with a checkpoint between two batches."""
    while True:
        await trio.lowlevel.wait_readable(sock)
        drain_batch(sock, take_raw)


def drain_batch(sock: socket.socket, take_raw: TakeRaw) -> None:
    """Hand over the datagrams that wait, up to one batch."""
    for _ in range(PACKETS_PER_BATCH):
        try:
            raw = sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        take_raw(raw)
