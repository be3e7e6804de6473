"""An HTTP/1.1 client on trio that keeps its connections open."""

from dataclasses import dataclass, field

import h11
import trio

from mustardhold.adapters.connecting import connect
from mustardhold.adapters.http_cycle import is_reusable
from mustardhold.adapters.tcp import READ_BYTES, set_tcp_options
from mustardhold.tables.constants import (
    MAX_HTTP_RESPONSE_BYTES,
    MAX_IDLE_CONNECTIONS,
)
from mustardhold.tables.outcomes import Err, Ok, Outcome


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response, read whole."""

    status: int
    body: bytes

    @property
    def is_success(self) -> bool:
        """Tell whether the status is 2xx."""
        return 200 <= self.status < 300


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """Why there is no response.

    Attributes
    ----------
    is_unsent
        Whether the request certainly did not reach the server.
    """

    reason: str
    is_unsent: bool


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """What to ask of which server.

    Attributes
    ----------
    address
        Server as ``"ip:port"``.
    target
        Path with its query.
    """

    method: str
    address: str
    target: str
    body: bytes = b''


@dataclass(slots=True)
class Link:
    """One open connection."""

    stream: trio.SocketStream
    protocol: h11.Connection


@dataclass(slots=True)
class HttpClient:
    """Connections that wait for their next request, by address.

    Attributes
    ----------
    sent_bytes, received_bytes
        Bytes of all requests and responses, heads included.
    """

    idle_by_address: dict[str, list[Link]] = field(default_factory=dict)
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
    """Send a request that may be repeated, and read its answer.

    A kept connection may have been closed by the server meanwhile; the
    request is then sent once more on a new one.

    Parameters
    ----------
    seconds
        Time for all of it.
    """
    with trio.move_on_after(seconds):
        idle = client.idle_by_address.get(request.address)
        if idle:
            kept = await exchange(client, idle.pop(), request)
            if isinstance(kept, Ok):
                return kept
        try:
            link = await open_link(request.address)
        except OSError as error:
            return Err(HttpFailure(str(error), is_unsent=True))
        return await exchange(client, link, request)
    return Err(HttpFailure('timed out', is_unsent=False))


async def open_link(address: str) -> Link:
    """Connect to a server, for as long as the caller waits.

    Raises
    ------
    OSError
        If it refuses or cannot be reached.
    """
    sock = await connect(address)
    set_tcp_options(sock)
    return Link(trio.SocketStream(sock), h11.Connection(h11.CLIENT))


async def exchange(
    client: HttpClient, link: Link, request: HttpRequest
) -> HttpOutcome:
    """Send a request on a connection, and keep the connection if it is whole.

    Returns
    -------
    Outcome
        The answer, or why there is none.
    """
    answer: HttpResponse | None = None
    try:
        answer = await ask(client, link, request)
    except _FAILURES as error:
        return Err(HttpFailure(repr(error), is_unsent=False))
    finally:
        if answer is not None and is_reusable(link.protocol):
            keep_link(client, request.address, link)
        else:
            link.stream.socket.close()
    return Ok(answer)


async def ask(
    client: HttpClient, link: Link, request: HttpRequest
) -> HttpResponse:
    """Send a request and read its answer.

    Raises
    ------
    OSError, trio.BrokenResourceError, h11.ProtocolError
        If the connection fails, or what comes is no answer.
    """
    encoded = encode_request(link.protocol, request)
    await link.stream.send_all(encoded)
    client.sent_bytes += len(encoded)
    return await read_answer(client, link)


def encode_request(protocol: h11.Connection, request: HttpRequest) -> bytes:
    """Encode a request with its body."""
    head = h11.Request(
        method=request.method,
        target=request.target,
        headers=[
            ('host', request.address),
            ('content-type', 'application/json'),
            ('content-length', str(len(request.body))),
        ],
    )
    parts = [protocol.send(head) or b'']
    if request.body:
        parts.append(protocol.send(h11.Data(data=request.body)) or b'')
    parts.append(protocol.send(h11.EndOfMessage()) or b'')
    return b''.join(parts)


async def read_answer(client: HttpClient, link: Link) -> HttpResponse:
    """Read a response whole.

    Raises
    ------
    h11.RemoteProtocolError
        If it is malformed, ends early or is too large.
    """
    status = 0
    body = bytearray()
    while True:
        event = link.protocol.next_event()
        if event is h11.NEED_DATA:
            raw = await link.stream.receive_some(READ_BYTES)
            client.received_bytes += len(raw)
            link.protocol.receive_data(raw)
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_HTTP_RESPONSE_BYTES:
                raise h11.RemoteProtocolError('the answer is too large')
        elif isinstance(event, h11.EndOfMessage):
            return HttpResponse(status, bytes(body))
        else:
            raise h11.RemoteProtocolError('the answer ended early')


def keep_link(client: HttpClient, address: str, link: Link) -> None:
    """Keep a connection for the next request, within a limit."""
    idle = client.idle_by_address.setdefault(address, [])
    if len(idle) >= MAX_IDLE_CONNECTIONS:
        link.stream.socket.close()
        return
    idle.append(link)
