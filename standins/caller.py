"""Simulates a caller that opens flows and sends requests and uploads."""

import os
import random
from dataclasses import dataclass, field

import trio

from standins.wire import (
    Kind,
    decode_packet,
    encode_packet,
    pack_address,
    split_address,
)

MAX_DATAGRAM = 65_535
OPEN_TRIES = 20
RETRY_SECONDS = 0.25
REQUEST_ID_BYTES = 16
MS_PER_SECOND = 1000


@dataclass(slots=True)
class Flow:
    """One flow of a caller, on its own socket.

    Attributes
    ----------
    backend_ids
        Every backend server that replied; a flow with more than one is
        broken.
    refused
        Reason for which a balancer refused the opening, if it did.
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
    """Outcome of one request.

    Attributes
    ----------
    outcome
        ``answered``, ``not-run``, ``unknown`` or ``timeout``.
    reason
        Reason that a balancer gave for a request without an answer.
    """

    request_id: str
    outcome: str
    body: bytes = b''
    reason: str = ''


async def connect(
    fabric: str, service: str, service_address: str, listen_host: str
) -> Flow:
    """Open a flow, retransmitting the opening until a server accepts it."""
    sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    await sock.bind((listen_host, 0))
    host, port = sock.getsockname()
    key = pack_address(f'{host}:{port}') + pack_address(service_address)
    flow = Flow(sock, split_address(fabric), key, service)
    for _ in range(OPEN_TRIES):
        await sock.sendto(encode_packet(Kind.OPEN, key), flow.fabric)
        if await wait_until_opened(flow):
            break
    return flow


async def wait_until_opened(flow: Flow) -> bool:
    """Return whether an opening is accepted within ``RETRY_SECONDS``."""
    with trio.move_on_after(RETRY_SECONDS):
        while not flow.backend_ids and not flow.refused:
            record_packet(
                flow, decode_packet(await flow.sock.recv(MAX_DATAGRAM))
            )
    return bool(flow.backend_ids)


def record_packet(flow: Flow, fields: list[object]) -> None:
    """Update the flow from a packet that is not part of an answer."""
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
    """Send a request once and wait for its complete answer."""
    request_id = (
        rng.randbytes(REQUEST_ID_BYTES) if rng else os.urandom(REQUEST_ID_BYTES)
    )
    deadline_ms = round(seconds * MS_PER_SECOND)
    await flow.sock.sendto(
        encode_packet(
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
            fields = decode_packet(await flow.sock.recv(MAX_DATAGRAM))
            outcome = record_answer(flow, fields, request_id, parts)
            if outcome:
                body = b''.join(parts[part] for part in sorted(parts))
                reason = '' if outcome == 'answered' else str(fields[3])
                return Result(request_id.hex(), outcome, body, reason)
    return Result(request_id.hex(), 'timeout')


def record_answer(
    flow: Flow,
    fields: list[object],
    request_id: bytes,
    parts: dict[int, bytes],
) -> str:
    """Process a packet of a flow; return the request's outcome, or ''."""
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
    record_packet(flow, fields)
    return ''


async def upload(flow: Flow, payload: bytes, seconds: float = 1.0) -> bool:
    """Send opaque bytes; return whether the flow echoed them in time."""
    await flow.sock.sendto(
        encode_packet(Kind.UPLOAD, flow.key, payload), flow.fabric
    )
    with trio.move_on_after(seconds):
        while True:
            fields = decode_packet(await flow.sock.recv(MAX_DATAGRAM))
            record_packet(flow, fields)
            if fields[0] == Kind.DOWNLOAD or flow.ended:
                return not flow.ended
    return False


async def close(flow: Flow) -> None:
    """Close a flow and its socket."""
    await flow.sock.sendto(encode_packet(Kind.CLOSE, flow.key), flow.fabric)
    flow.sock.close()
