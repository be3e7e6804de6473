"""Simulated traffic of callers to a fleet, generated from a seed."""

import itertools
import math
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from mustardhold.tables.packets import Cancel, Close, Open, Request, Upload
from tools.fakes.callers import CallerFlow, CallerRequest, is_broken
from tools.fakes.event_queue import run_until, schedule
from tools.fakes.fleet import Fleet, flow_key, spray

REQUEST_ID_BYTES = 16
MS_PER_SECOND = 1000
OPEN_RETRY_SECONDS = 0.25
OPEN_TRIES = 40
PROBES = 12
PROBE_SECONDS = 0.25
CALLER = 'caller'


@dataclass(frozen=True, slots=True)
class Traffic:
    """Parameters of the traffic to one service.

    Attributes
    ----------
    openings_per_second
        New flows a second.
    flow_seconds
        Mean lifetime of a flow, exponentially distributed.
    upload_seconds
        Time between two uploads of a flow.
    request_seconds
        Time between two requests of a flow; 0 for none.
    resend_seconds
        Interval at which a request without an outcome is resent; 0 for never.
    late_resends
        Fraction of requests that are resent once within ``late_seconds``,
        whatever their outcome, as if the answer had been lost.
    cancels
        Fraction of requests that are cancelled immediately.
    request_ids
        Number of distinct ids to choose from; 0 for random ids.
    requests_until
        Virtual time after which no new request is sent.
    """

    service: str
    openings_per_second: float = 20
    flow_seconds: float = 20
    upload_seconds: float = 1
    request_seconds: float = 0
    idempotent_share: float = 0.5
    deadline_ms: int = 2000
    resend_seconds: float = 0
    late_resends: float = 0
    late_seconds: float = 8
    cancels: float = 0
    request_ids: int = 0
    requests_until: float = math.inf


@dataclass(slots=True)
class FlowNumbers:
    """Unique numbers from which flow keys are made."""

    numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))


def start_traffic(
    fleet: Fleet, traffic: Traffic, until: float, numbers: FlowNumbers
) -> None:
    """Open flows at random intervals until a virtual time."""
    rng = fleet.queue.rng

    def open_next() -> None:
        if fleet.queue.now >= until:
            return
        key = flow_key(
            next(numbers.numbers), fleet.address_by_service[traffic.service]
        )
        start_flow(fleet, traffic, key)
        schedule(
            fleet.queue,
            rng.expovariate(traffic.openings_per_second),
            open_next,
        )

    schedule(fleet.queue, 0, open_next)


def start_flow(fleet: Fleet, traffic: Traffic, key: bytes) -> CallerFlow:
    """Open a flow, send traffic on it, and close it after its lifetime."""
    caller_flow = CallerFlow(key, traffic.service)
    fleet.flows_by_key[key] = caller_flow
    rng = fleet.queue.rng
    open_with_retries(fleet, caller_flow, OPEN_TRIES)
    life = rng.expovariate(1 / traffic.flow_seconds)
    schedule(fleet.queue, life, lambda: close_flow(fleet, caller_flow))
    use_flow(fleet, caller_flow, traffic)
    return caller_flow


def open_with_retries(
    fleet: Fleet, caller_flow: CallerFlow, tries: int
) -> None:
    """Resend an opening until it is answered or the retries are used up."""
    if tries == 0 or caller_flow.opened_at is not None or caller_flow.closed:
        return
    spray(fleet, CALLER, Open(caller_flow.flow))
    schedule(
        fleet.queue,
        OPEN_RETRY_SECONDS,
        lambda: open_with_retries(fleet, caller_flow, tries - 1),
    )


def use_flow(fleet: Fleet, caller_flow: CallerFlow, traffic: Traffic) -> None:
    """Send uploads and requests while a flow is open."""

    def upload() -> None:
        if is_usable(caller_flow):
            spray(fleet, CALLER, Upload(caller_flow.flow, b''))
        if not caller_flow.closed:
            schedule(fleet.queue, traffic.upload_seconds, upload)

    def send_requests() -> None:
        if is_usable(caller_flow) and fleet.queue.now < traffic.requests_until:
            send_request(fleet, caller_flow, traffic)
        if not caller_flow.closed:
            schedule(fleet.queue, traffic.request_seconds, send_requests)

    offset = fleet.queue.rng.uniform(0, 1)
    schedule(fleet.queue, offset * traffic.upload_seconds, upload)
    if traffic.request_seconds:
        schedule(fleet.queue, offset * traffic.request_seconds, send_requests)


def is_usable(caller_flow: CallerFlow) -> bool:
    """Return whether a flow is open from the caller's point of view."""
    is_open = caller_flow.opened_at is not None and caller_flow.ended_at is None
    return is_open and not caller_flow.closed


def send_request(
    fleet: Fleet, caller_flow: CallerFlow, traffic: Traffic
) -> CallerRequest:
    """Send a request, with the resends and cancels of the traffic."""
    rng = fleet.queue.rng
    request_id = rng.randbytes(REQUEST_ID_BYTES)
    if traffic.request_ids:
        number = rng.randrange(traffic.request_ids)
        request_id = number.to_bytes(REQUEST_ID_BYTES, 'big')
    packet = Request(
        caller_flow.flow,
        request_id,
        rng.random() < traffic.idempotent_share,
        traffic.deadline_ms,
        caller_flow.flow + request_id,
    )
    request = caller_flow.requests_by_id.setdefault(
        request_id, CallerRequest(packet, fleet.queue.now)
    )
    if request.request is not packet:
        return request
    spray(fleet, CALLER, packet)
    if traffic.resend_seconds:
        resend_until_outcome(fleet, request, traffic.resend_seconds)
    if rng.random() < traffic.late_resends:
        late = rng.uniform(0, traffic.late_seconds)
        schedule(fleet.queue, late, lambda: resend(fleet, request, packet))
    if rng.random() < traffic.cancels:
        cancel = Cancel(caller_flow.flow, request_id)
        spray(fleet, CALLER, cancel)
    return request


def resend_until_outcome(
    fleet: Fleet, request: CallerRequest, period: float
) -> None:
    """Resend a request periodically until its outcome or its deadline."""
    first = request.request
    deadline = request.sent_at + first.deadline_ms / MS_PER_SECOND

    def resend_later() -> None:
        left = deadline - fleet.queue.now
        if request.outcomes or left <= 0:
            return
        left_ms = int(left * MS_PER_SECOND)
        again = msgspec.structs.replace(first, deadline_ms=left_ms)
        resend(fleet, request, again)
        schedule(fleet.queue, period, resend_later)

    schedule(fleet.queue, period, resend_later)


def resend(fleet: Fleet, request: CallerRequest, packet: Request) -> None:
    """Resend a request and record the time."""
    request.resent_at.append(fleet.queue.now)
    spray(fleet, CALLER, packet)


def close_flow(fleet: Fleet, caller_flow: CallerFlow) -> None:
    """Close a flow from the caller's side, unless it is closed already."""
    if not caller_flow.closed:
        caller_flow.closed = True
        spray(fleet, CALLER, Close(caller_flow.flow))


def probe_open_flows(fleet: Fleet) -> list[CallerFlow]:
    """Upload on every open flow and return those without a response."""
    usable = [
        caller_flow
        for caller_flow in fleet.flows_by_key.values()
        if is_usable(caller_flow)
    ]
    before = {caller_flow.flow: caller_flow.downloads for caller_flow in usable}

    def probe() -> None:
        for caller_flow in usable:
            if (
                is_usable(caller_flow)
                and caller_flow.downloads == before[caller_flow.flow]
            ):
                spray(fleet, CALLER, Upload(caller_flow.flow, b''))

    for number in range(PROBES):
        schedule(fleet.queue, number * PROBE_SECONDS, probe)
    run_until(fleet.queue, fleet.queue.now + (PROBES + 1) * PROBE_SECONDS)
    return [
        caller_flow
        for caller_flow in usable
        if is_usable(caller_flow)
        and caller_flow.downloads == before[caller_flow.flow]
    ]


def broken_flows(fleet: Fleet) -> list[CallerFlow]:
    """Return the broken and unresponsive flows whose servers are alive."""
    dead = {
        server.backend_id
        for server in fleet.servers_by_id.values()
        if not server.alive
    }
    unresponsive = probe_open_flows(fleet)
    broken = [
        caller_flow
        for caller_flow in fleet.flows_by_key.values()
        if is_broken(caller_flow)
    ]
    affected = (*broken, *unresponsive)
    return [
        caller_flow
        for caller_flow in affected
        if not caller_flow.backend_ids <= dead
    ]
