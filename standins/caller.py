"""Stand-in of a caller: opens flows, sends requests, checks the answers."""

import os
import random
from dataclasses import dataclass, field

import trio

from standins.wire import Kind, address_bytes, pack, split, unpack

MAX_DATAGRAM = 65_535
OPEN_TRIES = 20
RETRY_SECONDS = 0.25
REQUEST_ID_BYTES = 16
MS_PER_SECOND = 1000


@dataclass(slots=True)
class Flow:
    """One flow of a caller, on a socket of its own.

    Attributes
    ----------
    backend_ids
        Every backend server that was seen to answer; more than one is a
        broken flow.
    """

    sock: trio.socket.SocketType
    fabric: tuple[str, int]
    key: bytes
    service: str
    backend_ids: set[str] = field(default_factory=set)
    ended: bool = False
    refused: str = ''


@dataclass(slots=True)
class Result:
    """What became of one request.

    Attributes
    ----------
    reason
        Why it was not answered, as far as a balancer told.
    """

    request_id: str
    outcome: str
    body: bytes = b''
    reason: str = ''


async def connect(
    fabric: str, service: str, service_address: str, listen_host: str
) -> Flow:
    """Open a flow, repeating the opening until it is answered."""
    sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    await sock.bind((listen_host, 0))
    host, port = sock.getsockname()
    key = address_bytes(f'{host}:{port}') + address_bytes(service_address)
    flow = Flow(sock, split(fabric), key, service)
    for _ in range(OPEN_TRIES):
        await sock.sendto(pack(Kind.OPEN, key), flow.fabric)
        if await is_opened(flow):
            break
    return flow


async def is_opened(flow: Flow) -> bool:
    """Wait a while for the answer to an opening."""
    with trio.move_on_after(RETRY_SECONDS):
        while not flow.backend_ids and not flow.refused:
            note_packet(flow, unpack(await flow.sock.recv(MAX_DATAGRAM)))
    return bool(flow.backend_ids)


def note_packet(flow: Flow, fields: list[object]) -> None:
    """Learn from a packet that is not part of an answer."""
    kind = fields[0]
    if kind == Kind.OPENED:
        flow.backend_ids.add(str(fields[2]))
    elif kind == Kind.OPEN_REFUSED:
        flow.refused = str(fields[2])
    elif kind == Kind.FLOW_ENDED:
        flow.ended = True
    elif kind == Kind.DOWNLOAD:
        echo = fields[3]
        assert isinstance(echo, bytes)
        flow.backend_ids.add(echo.split(b' ')[0].decode())


async def request(
    flow: Flow,
    payload: bytes,
    *,
    idempotent: bool,
    seconds: float = 2.0,
    rng: random.Random | None = None,
) -> Result:
    """Send a request once and wait for its whole answer."""
    request_id = (
        rng.randbytes(REQUEST_ID_BYTES) if rng else os.urandom(REQUEST_ID_BYTES)
    )
    deadline_ms = round(seconds * MS_PER_SECOND)
    await flow.sock.sendto(
        pack(
            Kind.REQUEST,
            flow.key,
            request_id,
            idempotent,
            deadline_ms,
            payload,
        ),
        flow.fabric,
    )
    parts: dict[int, bytes] = {}
    with trio.move_on_after(seconds):
        while True:
            fields = unpack(await flow.sock.recv(MAX_DATAGRAM))
            outcome = note_answer(flow, fields, request_id, parts)
            if outcome:
                body = b''.join(parts[part] for part in sorted(parts))
                reason = '' if outcome == 'answered' else str(fields[3])
                return Result(request_id.hex(), outcome, body, reason)
    return Result(request_id.hex(), 'timeout')


def note_answer(
    flow: Flow,
    fields: list[object],
    request_id: bytes,
    parts: dict[int, bytes],
) -> str:
    """Add a packet to an answer; name the outcome once it is known."""
    kind = fields[0]
    if kind == Kind.ANSWER and fields[2] == request_id:
        part, piece = fields[3], fields[5]
        assert isinstance(part, int)
        assert isinstance(piece, bytes)
        parts[part] = piece
        return 'answered' if len(parts) == fields[4] else ''
    if kind == Kind.NOT_RUN and fields[2] == request_id:
        return 'not-run'
    if kind == Kind.UNKNOWN and fields[2] == request_id:
        return 'unknown'
    note_packet(flow, fields)
    return ''


async def upload(flow: Flow, payload: bytes, seconds: float = 1.0) -> bool:
    """Send opaque bytes and wait for the server's echo."""
    await flow.sock.sendto(pack(Kind.UPLOAD, flow.key, payload), flow.fabric)
    with trio.move_on_after(seconds):
        while True:
            fields = unpack(await flow.sock.recv(MAX_DATAGRAM))
            note_packet(flow, fields)
            if fields[0] == Kind.DOWNLOAD or flow.ended:
                return not flow.ended
    return False


async def close(flow: Flow) -> None:
    """End a flow from the caller's side."""
    await flow.sock.sendto(pack(Kind.CLOSE, flow.key), flow.fabric)
    flow.sock.close()
