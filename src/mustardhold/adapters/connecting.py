"""Opens connections to servers whose machines may lose first packets."""

import socket

import trio

from mustardhold.systems.addresses import split_address
from mustardhold.tables.constants import (
    CONNECT_BACKOFF_FACTOR,
    CONNECT_RETRY_DELAY,
)
from mustardhold.tables.outcomes import Err, Ok, Outcome

Attempt = Outcome[trio.socket.SocketType, OSError]


async def connect(address: str) -> trio.socket.SocketType:
    """Connect to a server, for as long as the caller waits.

    A first packet that is lost, as to a machine that has no power yet, is
    sent again by the system after a second only. So another try with a new
    socket begins after a pause, and then after ever longer ones, while the
    earlier tries go on: a slow link may need more time than any pause.

    Raises
    ------
    OSError
        If it refuses or cannot be reached.
    """
    ended: list[Attempt] = []
    try:
        await race(address, ended)
    except BaseException:
        close_all(ended)
        raise
    first = ended[0]
    close_all(ended[1:])
    if isinstance(first, Err):
        raise first.error
    return first.value


async def race(address: str, ended: list[Attempt]) -> None:
    """Begin tries until one of them has ended; collect those that have."""
    pause = CONNECT_RETRY_DELAY.total_seconds()
    async with trio.open_nursery() as nursery:
        while True:
            nursery.start_soon(attempt, address, ended, nursery.cancel_scope)
            await trio.sleep(pause)
            pause *= CONNECT_BACKOFF_FACTOR


async def attempt(
    address: str, ended: list[Attempt], scope: trio.CancelScope
) -> None:
    """Try once, and end the race with what came of it."""
    try:
        ended.append(Ok(await connect_once(address)))
    except OSError as error:
        ended.append(Err(error))
    scope.cancel()


def close_all(ended: list[Attempt]) -> None:
    """Close the connections that nobody uses."""
    for one in ended:
        if isinstance(one, Ok):
            one.value.close()


async def connect_once(address: str) -> trio.socket.SocketType:
    """Connect a new socket to a server.

    Raises
    ------
    OSError
        If it refuses or cannot be reached.
    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        await sock.connect(split_address(address))
    except BaseException:
        sock.close()
        raise
    return sock
