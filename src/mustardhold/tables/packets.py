"""Packets exchanged with callers and backend servers.

Every packet names its flow by a 12-byte key: the caller's IPv4 address and
port, then the service's IPv4 address and port, in network byte order.
"""

from typing import Annotated

import msgspec

from mustardhold.tables.constants import FLOW_KEY_BYTES, REQUEST_ID_BYTES

FlowKey = Annotated[
    bytes,
    msgspec.Meta(min_length=FLOW_KEY_BYTES, max_length=FLOW_KEY_BYTES),
]
RequestId = Annotated[
    bytes,
    msgspec.Meta(min_length=REQUEST_ID_BYTES, max_length=REQUEST_ID_BYTES),
]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**32 - 1)]


class Open(
    msgspec.Struct,
    array_like=True,
    tag=1,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Requests a new flow; the caller repeats it until it is answered."""

    flow: FlowKey


class Request(
    msgspec.Struct,
    array_like=True,
    tag=2,
    frozen=True,
    forbid_unknown_fields=True,
):
    """A request within a flow.

    Attributes
    ----------
    deadline_ms
        Time until the caller's deadline, in milliseconds.
    """

    flow: FlowKey
    request_id: RequestId
    idempotent: bool
    deadline_ms: Count
    payload: bytes


class Upload(
    msgspec.Struct,
    array_like=True,
    tag=3,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Opaque bytes from the caller to the backend server of the flow."""

    flow: FlowKey
    payload: bytes


class Cancel(
    msgspec.Struct,
    array_like=True,
    tag=4,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Cancels a request whose answer the caller no longer needs."""

    flow: FlowKey
    request_id: RequestId


class Close(
    msgspec.Struct,
    array_like=True,
    tag=5,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Ends a flow; sent by the caller."""

    flow: FlowKey


class Opened(
    msgspec.Struct,
    array_like=True,
    tag=10,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Accepts a flow; sent by the backend server."""

    flow: FlowKey
    backend_id: str


class Answer(
    msgspec.Struct,
    array_like=True,
    tag=11,
    frozen=True,
    forbid_unknown_fields=True,
):
    """One part of the answer to a request; sent by the backend server.

    Attributes
    ----------
    part
        Index of this part, from 0.
    parts
        Number of parts of the whole answer.
    """

    flow: FlowKey
    request_id: RequestId
    part: Count
    parts: Count
    payload: bytes


class Shed(
    msgspec.Struct,
    array_like=True,
    tag=12,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Refuses a request before any of it has run; sent by the server."""

    flow: FlowKey
    request_id: RequestId


class Download(
    msgspec.Struct,
    array_like=True,
    tag=13,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Opaque bytes streamed from the backend server to the caller."""

    flow: FlowKey
    sequence: Count
    payload: bytes


class FlowEnded(
    msgspec.Struct,
    array_like=True,
    tag=14,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Reports that a flow has ended or is not known."""

    flow: FlowKey


class OpenRefused(
    msgspec.Struct,
    array_like=True,
    tag=20,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Reports that a new flow could not be placed; sent by the balancer."""

    flow: FlowKey
    reason: str


class NotRun(
    msgspec.Struct,
    array_like=True,
    tag=21,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Reports that a request was certainly not run; sent by the balancer."""

    flow: FlowKey
    request_id: RequestId
    reason: str


class Unknown(
    msgspec.Struct,
    array_like=True,
    tag=22,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Reports that a request may have run; sent by the balancer.

    The request was or may have been forwarded, and its outcome is not known.
    """

    flow: FlowKey
    request_id: RequestId
    reason: str


CallerPacket = Open | Request | Upload | Cancel | Close
BackendPacket = Opened | Answer | Shed | Download | FlowEnded
BalancerPacket = OpenRefused | NotRun | Unknown
Packet = CallerPacket | BackendPacket | BalancerPacket
