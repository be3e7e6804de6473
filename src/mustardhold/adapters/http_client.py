"""An HTTP/1.1 client on trio that reuses its connections."""

from dataclasses import dataclass, field

import h11
import trio

from mustardhold.adapters.connecting import connect
from mustardhold.adapters.content_encoding import DEFLATE, inflate
from mustardhold.adapters.http_cycle import (
    REQUEST_ID,
    find_request_id,
    prepare_reuse,
)
from mustardhold.adapters.tcp import READ_BYTES, set_tcp_options
from mustardhold.tables.constants import (
    MAX_HTTP_RESPONSE_BYTES,
    MAX_IDLE_CONNECTIONS,
)
from mustardhold.tables.outcomes import Err, Ok, Outcome


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """An HTTP response with its complete body."""

    status: int
    body: bytes

    @property
    def is_success(self) -> bool:
        """Return whether the status is 2xx."""
        return 200 <= self.status < 300


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """The reason why a request got no response.

    Attributes
    ----------
    is_unsent
        Whether the request certainly did not reach the server.
    """

    reason: str
    is_unsent: bool


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """An HTTP request to a server.

    Attributes
    ----------
    address
        Address of the server, as ``"ip:port"``.
    target
        Path and query string.
    """

    method: str
    address: str
    target: str
    body: bytes = b''


@dataclass(slots=True)
class HttpConnection:
    """An open connection and its protocol state.

    Attributes
    ----------
    requests
        Number of requests that were sent on it, which is the id of the latest.
    """

    stream: trio.SocketStream
    protocol: h11.Connection
    requests: int = 0


@dataclass(slots=True)
class HttpClient:
    """A pool of idle connections.

    Attributes
    ----------
    idle_by_address
        Idle connections by the address of their server.
    sent_bytes, received_bytes
        Total size of all requests and responses, including their headers.
    """

    idle_by_address: dict[str, list[HttpConnection]] = field(
        default_factory=dict
    )
    sent_bytes: int = 0
    received_bytes: int = 0


HttpOutcome = Outcome[HttpResponse, HttpFailure]

_FAILURES = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.ProtocolError,
)


async def send_request(
    client: HttpClient, request: HttpRequest, seconds: float
) -> HttpOutcome:
    """Send a request that is safe to repeat, and read the response.

    The server may have closed an idle connection in the meantime. If a request
    on an idle connection fails, it is sent again on a new connection.

    Parameters
    ----------
    seconds
        Timeout of the whole exchange, including the second attempt.
    """
    with trio.move_on_after(seconds):
        idle = client.idle_by_address.get(request.address)
        if idle:
            reused = await exchange(client, idle.pop(), request)
            if isinstance(reused, Ok):
                return reused
        try:
            connection = await open_connection(request.address)
        except OSError as error:
            return Err(HttpFailure(str(error), is_unsent=True))
        return await exchange(client, connection, request)
    return Err(HttpFailure('timed out', is_unsent=False))


async def open_connection(address: str) -> HttpConnection:
    """Connect to a server; the timeout is up to the calling function.

    Raises
    ------
    OSError
        If the server refuses the connection or cannot be reached.
    """
    sock = await connect(address)
    set_tcp_options(sock)
    return HttpConnection(trio.SocketStream(sock), h11.Connection(h11.CLIENT))


async def exchange(
    client: HttpClient, connection: HttpConnection, request: HttpRequest
) -> HttpOutcome:
    """Send a request on a connection, then pool or close the connection.

    Returns
    -------
    Outcome
        The response, or the reason why there is none.
    """
    response: HttpResponse | None = None
    try:
        response = await send_and_read(client, connection, request)
    except _FAILURES as error:
        return Err(HttpFailure(repr(error), is_unsent=False))
    finally:
        if response is not None and prepare_reuse(connection.protocol):
            store_idle(client, request.address, connection)
        else:
            connection.stream.socket.close()
    return Ok(response)


async def send_and_read(
    client: HttpClient, connection: HttpConnection, request: HttpRequest
) -> HttpResponse:
    """Send a request and read the response.

    Raises
    ------
    OSError, trio.BrokenResourceError, h11.ProtocolError
        If the connection fails or the response is malformed.
    """
    connection.requests += 1
    encoded = encode_request(connection, request)
    await connection.stream.send_all(encoded)
    client.sent_bytes += len(encoded)
    return await read_response(client, connection)


def encode_request(connection: HttpConnection, request: HttpRequest) -> bytes:
    """Encode a request with its id and body."""
    protocol = connection.protocol
    head = h11.Request(
        method=request.method,
        target=request.target,
        headers=[
            (b'host', request.address.encode()),
            (b'content-type', b'application/json'),
            (b'content-length', str(len(request.body)).encode()),
            (REQUEST_ID, str(connection.requests).encode()),
        ],
    )
    parts = [protocol.send(head) or b'']
    if request.body:
        parts.append(protocol.send(h11.Data(data=request.body)) or b'')
    parts.append(protocol.send(h11.EndOfMessage()) or b'')
    return b''.join(parts)


async def read_response(
    client: HttpClient, connection: HttpConnection
) -> HttpResponse:
    """Read the complete response to the latest request.

    Raises
    ------
    h11.RemoteProtocolError
        If the response is malformed, incomplete or too large, or answers
        another request.
    """
    status = 0
    encoding = b''
    body = bytearray()
    while True:
        event = connection.protocol.next_event()
        if event is h11.NEED_DATA:
            raw = await connection.stream.receive_some(READ_BYTES)
            client.received_bytes += len(raw)
            connection.protocol.receive_data(raw)
        elif isinstance(event, h11.Response):
            if (
                find_request_id(event.headers)
                != str(connection.requests).encode()
            ):
                raise h11.RemoteProtocolError('answers another request')
            status = event.status_code
            encoding = dict(event.headers).get(b'content-encoding', b'')
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_HTTP_RESPONSE_BYTES:
                raise h11.RemoteProtocolError('the response is too large')
        elif isinstance(event, h11.EndOfMessage):
            return HttpResponse(status, decode_body(encoding, bytes(body)))
        else:
            raise h11.RemoteProtocolError('the response is incomplete')


def decode_body(encoding: bytes, body: bytes) -> bytes:
    """Return a body without its content encoding.

    Raises
    ------
    h11.RemoteProtocolError
        If it cannot be decoded.
    """
    if encoding != DEFLATE.encode():
        return body
    inflated = inflate(body, MAX_HTTP_RESPONSE_BYTES)
    if isinstance(inflated, Err):
        raise h11.RemoteProtocolError(f'the body {inflated.error}')
    return inflated.value


def store_idle(
    client: HttpClient, address: str, connection: HttpConnection
) -> None:
    """Add a connection to the pool, or close it if the pool is full."""
    idle = client.idle_by_address.setdefault(address, [])
    if len(idle) >= MAX_IDLE_CONNECTIONS:
        connection.stream.socket.close()
        return
    idle.append(connection)
