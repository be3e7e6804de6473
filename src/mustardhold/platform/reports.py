"""Decoding of the JSON reports of backend servers."""

from collections.abc import Iterator
from enum import StrEnum
from types import MappingProxyType
from typing import Annotated, Final

import msgspec

from mustardhold.platform.server_ids import server_number
from mustardhold.systems.report_checks import find_report_errors
from mustardhold.tables.directory import (
    LAST_SEQUENCE,
    ServerReport,
    ServerState,
)
from mustardhold.tables.outcomes import Err, Ok, Outcome
from mustardhold.tables.routing import Finding

Count = Annotated[int, msgspec.Meta(ge=0, lt=LAST_SEQUENCE)]
MAX_SERVER_NUMBER = 2**64 - 1
WIRE_NAMES: Final = MappingProxyType(
    {
        'server_id': 'id',
        'data_centre': 'zone',
        'slow_for_ms': 'cold_remaining_ms',
        'incarnation': 'born',
    }
)
"""Names that differ in the JSON of the platform."""


class WireState(StrEnum):
    """States that a backend server reports."""

    READY = 'ready'
    DRAINING = 'draining'


class WireReport(msgspec.Struct, frozen=True):
    """A periodic report of a backend server.

    Attributes
    ----------
    zone
        The server's data centre.
    cold_remaining_ms
        Remaining time of the slow start, in milliseconds.
    born
        Start time of the server, in milliseconds since 1970.
    """

    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: str
    slots: int
    state: WireState
    sequence: Count
    cold_remaining_ms: Count = 0
    born: Count = 0


class WireLeave(msgspec.Struct, frozen=True):
    """The last report of a server that leaves; the body may be empty."""

    born: Count = 0


_report_decoder = msgspec.json.Decoder(WireReport)
_leave_decoder = msgspec.json.Decoder(WireLeave)


def find_id_error(server_id: str) -> Finding | None:
    """Return why a server id cannot be encoded in packets, or None."""
    try:
        number = server_number(server_id)
    except ValueError:
        return Finding('id', 'has no hex digits')
    if not 0 < number <= MAX_SERVER_NUMBER:
        return Finding('id', 'is out of range')
    return None


def read_report(
    server_id: str, raw: bytes
) -> Outcome[ServerReport, tuple[Finding, ...]]:
    """Decode a report, or return its findings."""
    id_error = find_id_error(server_id)
    try:
        wire = _report_decoder.decode(raw)
    except (msgspec.DecodeError, RecursionError) as error:
        body_error = Finding('body', str(error))
        return Err(
            (body_error,) if id_error is None else (id_error, body_error)
        )
    report = ServerReport(
        server_id,
        wire.born,
        wire.sequence,
        wire.service,
        wire.address,
        wire.zone,
        wire.slots,
        ServerState(wire.state.value),
        wire.cold_remaining_ms,
    )
    findings = tuple(find_errors(report, id_error))
    return Err(findings) if findings else Ok(report)


def find_errors(
    report: ServerReport, id_error: Finding | None
) -> Iterator[Finding]:
    """Yield the findings of a report, with the names of the platform."""
    if id_error is not None:
        yield id_error
    for finding in find_report_errors(report):
        name = WIRE_NAMES.get(finding.place, finding.place)
        yield Finding(name, finding.message)


def read_leave(raw: bytes) -> Outcome[int, tuple[Finding, ...]]:
    """Return the incarnation that leaves; 0, or an empty body, means any."""
    if not raw:
        return Ok(0)
    try:
        return Ok(_leave_decoder.decode(raw).born)
    except (msgspec.DecodeError, RecursionError) as error:
        return Err((Finding('body', str(error)),))
