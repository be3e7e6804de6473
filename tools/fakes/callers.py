"""Fake callers: the replies that each flow and request received."""

from dataclasses import dataclass, field

from mustardhold.tables.packets import (
    Answer,
    BackendPacket,
    BalancerPacket,
    CallerPacket,
    Download,
    FlowEnded,
    NotRun,
    Opened,
    OpenRefused,
    Request,
    Unknown,
)
from tools.fakes.servers import answer_part


@dataclass(slots=True)
class CallerRequest:
    """A request and the replies that its caller received.

    Attributes
    ----------
    outcomes
        All received outcomes, in order.
    first_outcome_at
        Virtual time of the first outcome, in seconds.
    resent_at, refused_at
        Virtual times of the resends, and of each ``not-run`` reply.
    foreign_answers
        Number of answer parts whose payload does not match the request.
    """

    request: Request
    sent_at: float = 0
    first_outcome_at: float | None = None
    resent_at: list[float] = field(default_factory=list)
    refused_at: list[float] = field(default_factory=list)
    parts: dict[int, bytes] = field(default_factory=dict)
    outcomes: list[str] = field(default_factory=list)
    foreign_answers: int = 0


@dataclass(slots=True)
class CallerFlow:
    """A flow and the replies that its caller received.

    Attributes
    ----------
    backend_ids
        Servers that replied on this flow; more than one means it is broken.
    ended_at
        Virtual time at which the flow was ended other than by the caller.
    """

    flow: bytes
    service: str
    opened_at: float | None = None
    backend_ids: set[str] = field(default_factory=set)
    refusals: list[str] = field(default_factory=list)
    ended_at: float | None = None
    closed: bool = False
    downloads: int = 0
    requests_by_id: dict[bytes, CallerRequest] = field(default_factory=dict)


def record_packet(
    caller_flow: CallerFlow,
    packet: CallerPacket | BackendPacket | BalancerPacket,
    now: float,
) -> None:
    """Record a packet that a caller received on a flow."""
    match packet:
        case Opened(backend_id=backend_id):
            caller_flow.opened_at = (
                now if caller_flow.opened_at is None else caller_flow.opened_at
            )
            caller_flow.backend_ids.add(backend_id)
        case Download(payload=payload):
            caller_flow.downloads += 1
            caller_flow.backend_ids.add(payload.decode())
        case OpenRefused(reason=reason):
            caller_flow.refusals.append(reason)
        case FlowEnded() if (
            not caller_flow.closed and caller_flow.opened_at is not None
        ):
            caller_flow.ended_at = now
        case Answer() | NotRun() | Unknown():
            record_outcome(caller_flow, packet, now)


def record_outcome(
    caller_flow: CallerFlow, packet: Answer | NotRun | Unknown, now: float
) -> None:
    """Record a reply to a request; ignore unknown request ids."""
    request = caller_flow.requests_by_id.get(packet.request_id)
    if request is None:
        return
    if isinstance(packet, NotRun):
        request.outcomes.append('not-run')
        request.refused_at.append(now)
    elif isinstance(packet, Unknown):
        request.outcomes.append('unknown')
    else:
        record_answer_part(request, packet)
    if request.outcomes and request.first_outcome_at is None:
        request.first_outcome_at = now


def record_answer_part(request: CallerRequest, packet: Answer) -> None:
    """Store one part of an answer and record whether it is complete."""
    expected = answer_part(request.request.payload, packet.part)
    request.foreign_answers += packet.payload != expected
    request.parts[packet.part] = packet.payload
    if len(request.parts) == packet.parts:
        request.outcomes.append('answered')


def is_broken(caller_flow: CallerFlow) -> bool:
    """Return whether an opened flow was ended or answered by two servers."""
    if caller_flow.opened_at is None:
        return False
    return caller_flow.ended_at is not None or len(caller_flow.backend_ids) > 1
