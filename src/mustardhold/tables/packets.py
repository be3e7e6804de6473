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
    """Asks for a new flow; repeated by the caller until it is answered."""

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
        Time left to the caller's deadline, in milliseconds.
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
    """Opaque bytes from the caller to its backend server."""

    flow: FlowKey
    payload: bytes


class Cancel(
    msgspec.Struct,
    array_like=True,
    tag=4,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Withdraws a request whose answer is no longer wanted."""

    flow: FlowKey
    request_id: RequestId


class Close(
    msgspec.Struct,
    array_like=True,
    tag=5,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Ends a flow, from the caller's side."""

    flow: FlowKey


class Opened(
    msgspec.Struct,
    array_like=True,
    tag=10,
    frozen=True,
    forbid_unknown_fields=True,
):
    """A backend server accepted the flow."""

    flow: FlowKey
    backend_id: str


class Answer(
    msgspec.Struct,
    array_like=True,
    tag=11,
    frozen=True,
    forbid_unknown_fields=True,
):
    """One part of the answer to a request.

    Attributes
    ----------
    part
        Place of this part, from 0.
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
    """A backend server refused a request before it ran any of it."""

    flow: FlowKey
    request_id: RequestId


class Download(
    msgspec.Struct,
    array_like=True,
    tag=13,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Opaque bytes of a feed, from a backend server to the caller."""

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
    """The backend server does not hold the flow, or has ended it."""

    flow: FlowKey


class OpenRefused(
    msgspec.Struct,
    array_like=True,
    tag=20,
    frozen=True,
    forbid_unknown_fields=True,
):
    """The balancer could not place a new flow."""

    flow: FlowKey
    reason: str


class NotRun(
    msgspec.Struct,
    array_like=True,
    tag=21,
    frozen=True,
    forbid_unknown_fields=True,
):
    """The request was certainly not run."""

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
    """The request was forwarded and its outcome cannot be told."""

    flow: FlowKey
    request_id: RequestId
    reason: str


CallerPacket = Open | Request | Upload | Cancel | Close
BackendPacket = Opened | Answer | Shed | Download | FlowEnded
BalancerPacket = OpenRefused | NotRun | Unknown
Packet = CallerPacket | BackendPacket | BalancerPacket
