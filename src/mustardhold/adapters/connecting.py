"""TCP connects that retry early when the first packet may be lost."""

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
    """Connect to a server; the timeout is up to the calling function.

    The operating system retransmits a lost SYN only after one second, for
    example to a machine that is not powered on yet. Therefore further attempts
    with new sockets start after increasing delays. Earlier attempts continue,
    because a slow link may need longer than any of the delays.

    Raises
    ------
    OSError
        If the server refuses the connection or cannot be reached.
    """
    results: list[Attempt] = []
    try:
        await race(address, results)
    except BaseException:
        close_connected(results)
        raise
    first = results[0]
    close_connected(results[1:])
    if isinstance(first, Err):
        raise first.error
    return first.value


async def race(address: str, results: list[Attempt]) -> None:
    """Start attempts until the first one ends; collect the results."""
    delay = CONNECT_RETRY_DELAY.total_seconds()
    async with trio.open_nursery() as nursery:
        while True:
            nursery.start_soon(attempt, address, results, nursery.cancel_scope)
            await trio.sleep(delay)
            delay *= CONNECT_BACKOFF_FACTOR


async def attempt(
    address: str, results: list[Attempt], scope: trio.CancelScope
) -> None:
    """Try to connect once, store the result and end the race."""
    try:
        results.append(Ok(await connect_once(address)))
    except OSError as error:
        results.append(Err(error))
    scope.cancel()


def close_connected(results: list[Attempt]) -> None:
    """Close the sockets of successful attempts that are not used."""
    for result in results:
        if isinstance(result, Ok):
            result.value.close()


async def connect_once(address: str) -> trio.socket.SocketType:
    """Connect a new socket to a server.

    Raises
    ------
    OSError
        If the server refuses the connection or cannot be reached.
    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        await sock.connect(split_address(address))
    except BaseException:
        sock.close()
        raise
    return sock
