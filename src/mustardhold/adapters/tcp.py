"""Socket options of TCP connections."""

import socket

import trio

from mustardhold.tables.constants import TCP_ACK_TIMEOUT

READ_BYTES = 65_536
KEEPALIVE_SECONDS = 1
KEEPALIVE_PROBES = 3


def set_tcp_options(sock: trio.socket.SocketType) -> None:
    """Disable Nagle's algorithm and detect an unresponsive peer."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    silence_ms = round(TCP_ACK_TIMEOUT.total_seconds() * 1000)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, silence_ms)
