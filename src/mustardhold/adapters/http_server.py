"""An HTTP/1.1 server on trio for ASGI applications."""

import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import h11
import trio

from mustardhold.adapters.http_app import Application
from mustardhold.adapters.http_cycle import (
    REQUEST_ID,
    find_request_id,
    prepare_reuse,
)
from mustardhold.adapters.tcp import READ_BYTES, set_tcp_options
from mustardhold.systems.addresses import split_address
from mustardhold.tables.constants import (
    HTTP_GRACE,
    HTTP_IDLE_TIMEOUT,
    MAX_HTTP_CONNECTIONS,
)

BACKLOG = 256
Receive = Callable[[], Awaitable[dict[str, Any]]]


def bind_listener(address: str) -> trio.SocketListener:
    """Return a listening socket bound to ``"ip:port"``."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(split_address(address))
    sock.listen(BACKLOG)
    return trio.SocketListener(trio.socket.from_stdlib_socket(sock))


async def serve_http(
    app: Application,
    address: str,
    stopping: trio.Event,
    inherited: socket.socket | None = None,
) -> None:
    """Serve until the event is set, then let open requests finish.

    Connections beyond the limit are closed on accept. After ``HTTP_GRACE``
    the remaining connections are cancelled.

    Parameters
    ----------
    inherited
        A listening socket that is already bound to the address.
    """
    listener = (
        bind_listener(address)
        if inherited is None
        else trio.SocketListener(trio.socket.from_stdlib_socket(inherited))
    )
    limiter = trio.CapacityLimiter(MAX_HTTP_CONNECTIONS)

    async def serve_within_limit(stream: trio.SocketStream) -> None:
        if limiter.available_tokens < 1:
            await trio.aclose_forcefully(stream)
            return
        async with limiter:
            await serve_stream(app, stream, stopping)

    async def accept() -> None:
        await trio.serve_listeners(
            serve_within_limit, [listener], handler_nursery=connections
        )

    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(accept)
            await stopping.wait()
            accepting.cancel_scope.cancel()
        connections.cancel_scope.deadline = (
            trio.current_time() + HTTP_GRACE.total_seconds()
        )


async def serve_stream(
    app: Application, stream: trio.SocketStream, stopping: trio.Event
) -> None:
    """Serve the requests of one connection until either side closes it."""
    set_tcp_options(stream.socket)
    connection = h11.Connection(h11.SERVER)
    # A peer may reset the connection, stop responding or send malformed data
    # at any time.
    with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        while not stopping.is_set():
            is_open = await serve_request(app, stream, connection)
            if not is_open:
                break
    await trio.aclose_forcefully(stream)


async def serve_request(
    app: Application, stream: trio.SocketStream, connection: h11.Connection
) -> bool:
    """Serve one request.

    Returns
    -------
    bool
        Whether the connection can carry another request.
    """
    try:
        request = await next_event(stream, connection)
    except h11.RemoteProtocolError as error:
        await send_protocol_error(stream, connection, error)
        return False
    if not isinstance(request, h11.Request):
        return False
    try:
        await app(
            make_scope(request),
            make_receive(stream, connection),
            make_send(stream, connection, find_request_id(request.headers)),
        )
        await skip_body(stream, connection)
    except h11.ProtocolError:
        return False
    return prepare_reuse(connection)


async def next_event(
    stream: trio.SocketStream, connection: h11.Connection
) -> object:
    """Read until the next protocol event.

    After ``HTTP_IDLE_TIMEOUT`` without data, the connection is treated as
    closed by the peer.
    """
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        raw = b''
        with trio.move_on_after(HTTP_IDLE_TIMEOUT.total_seconds()):
            raw = await stream.receive_some(READ_BYTES)
        connection.receive_data(raw)


def make_scope(request: h11.Request) -> dict[str, Any]:
    """Return the ASGI scope of a request, with the keys that are used."""
    path, _, query = request.target.partition(b'?')
    return {
        'type': 'http',
        'method': request.method.decode('ascii'),
        'path': path.decode('latin-1'),
        'query_string': query,
    }


def make_receive(
    stream: trio.SocketStream, connection: h11.Connection
) -> Receive:
    """Return the ASGI ``receive`` function that reads a request body."""

    async def receive() -> dict[str, Any]:
        event = await next_event(stream, connection)
        if isinstance(event, h11.Data):
            body = bytes(event.data)
            return {'type': 'http.request', 'body': body, 'more_body': True}
        if isinstance(event, h11.EndOfMessage):
            return {'type': 'http.request', 'body': b'', 'more_body': False}
        raise h11.RemoteProtocolError(
            'connection closed before the end of the body'
        )

    return receive


def make_send(
    stream: trio.SocketStream,
    connection: h11.Connection,
    request_id: bytes,
) -> Callable[[dict[str, Any]], Awaitable[None]]:
    """Return the ASGI ``send`` function that writes a response.

    The head is buffered and sent together with the body. It has the id of the
    request, if that had one.
    """
    started: list[bytes] = []

    async def send(event: dict[str, Any]) -> None:
        if event['type'] == 'http.response.start':
            headers = list(event['headers'])
            if request_id:
                headers.append((REQUEST_ID, request_id))
            response = h11.Response(
                status_code=event['status'], headers=headers
            )
            started.append(connection.send(response) or b'')
            return
        body = connection.send(h11.Data(data=event['body'])) or b''
        end = connection.send(h11.EndOfMessage()) or b''
        await stream.send_all(b''.join((*started, body, end)))

    return send


async def skip_body(
    stream: trio.SocketStream, connection: h11.Connection
) -> None:
    """Discard the part of the request body that the handler did not read."""
    while connection.their_state is h11.SEND_BODY:
        event = await next_event(stream, connection)
        if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
            return


async def send_protocol_error(
    stream: trio.SocketStream,
    connection: h11.Connection,
    error: h11.RemoteProtocolError,
) -> None:
    """Send an error response to a malformed request, if still possible."""
    if connection.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
        return
    response = h11.Response(
        status_code=error.error_status_hint,
        headers=[(b'content-length', b'0'), (b'connection', b'close')],
    )
    raw = connection.send(response) or b''
    await stream.send_all(raw + (connection.send(h11.EndOfMessage()) or b''))
