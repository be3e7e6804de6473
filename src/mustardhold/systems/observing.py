"""Timings and decisions, read off what a balancer takes and sends."""

from bisect import bisect_left

from mustardhold.systems.histograms import (
    OPEN_SECONDS,
    REQUEST_SECONDS,
    observe,
)
from mustardhold.systems.routing import service_of
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import (
    MAX_TIMERS,
    TIMER_LIFETIME,
)
from mustardhold.tables.histograms import (
    HOP_BOUNDS,
    Histogram,
    HistogramKey,
)
from mustardhold.tables.observations import (
    DecisionRecord,
    Observations,
    RunningTimer,
)
from mustardhold.tables.outbox import Send, ToBackend, ToPeer
from mustardhold.tables.packets import (
    Answer,
    Cancel,
    Close,
    FlowEnded,
    NotRun,
    Open,
    Opened,
    OpenRefused,
    Packet,
    Request,
    Shed,
    Unknown,
)
from mustardhold.tables.peers import Relay

RELAY_HOPS = 'relay_hops'
OUTCOME_BY_KIND: dict[type, str] = {
    Open: 'opening-sent',
    Request: 'forwarded',
    Cancel: 'cancellation-sent',
    Close: 'close-sent',
    OpenRefused: 'open-refused',
    NotRun: 'not-run',
    Unknown: 'unknown',
    FlowEnded: 'flow-ended',
    Opened: 'opened',
    Shed: 'shed',
}


def relay_histogram(seen: Observations) -> Histogram:
    """Make the histogram of relays from their counts."""
    histogram = Histogram(HOP_BOUNDS)
    for hops, count in seen.relays_by_hops.items():
        histogram.counts[bisect_left(HOP_BOUNDS, hops)] += count
        histogram.total += hops * count
    return histogram


def all_histograms(seen: Observations) -> dict[HistogramKey, Histogram]:
    """Collect every histogram, by name, service and class."""
    relays = {(RELAY_HOPS, '', ''): relay_histogram(seen)}
    return {**seen.histograms_by_key, **relays}


def record_send(
    seen: Observations, tables: BalancerTables, now: float, send: Send
) -> None:
    """Keep the decision that a send carries out, and start its timer."""
    if isinstance(send, ToPeer):
        if isinstance(send.message, Relay):
            note_relay(seen, tables, now, send.message, send.instance_id)
        return
    packet = send.packet
    outcome = OUTCOME_BY_KIND.get(type(packet))
    if outcome is None:
        return
    reason = getattr(packet, 'reason', '')
    target = 'caller'
    if isinstance(send, ToBackend):
        target = send.address
        reason = 'the flow is placed on this server'
        start_timer(seen, tables, now, packet)
    keep_decision(seen, tables, now, packet, (outcome, target, reason))


def note_relay(
    seen: Observations,
    tables: BalancerTables,
    now: float,
    message: Relay,
    target: str,
) -> None:
    """Keep that a packet was passed on to another balancer."""
    packet = message.packet
    if OUTCOME_BY_KIND.get(type(packet)) is not None:
        text = ('relayed', target, f'owner of the bucket, hop {message.hops}')
        keep_decision(seen, tables, now, packet, text)


def keep_decision(
    seen: Observations,
    tables: BalancerTables,
    now: float,
    packet: Packet,
    text: tuple[str, str, str],
) -> None:
    """Keep a decision: its outcome, target and reason."""
    seen.decisions.append(
        DecisionRecord(
            now,
            packet.flow,
            getattr(packet, 'request_id', b''),
            *text,
            tables.routing.version,
            tables.view.epoch,
        )
    )


def start_timer(
    seen: Observations, tables: BalancerTables, now: float, packet: Packet
) -> None:
    """Remember when an opening or a request went to its server."""
    service = service_of(tables, packet.flow) or ''
    if isinstance(packet, Open):
        if len(seen.open_timers_by_flow) < MAX_TIMERS:
            started = RunningTimer(service, 'open', now)
            seen.open_timers_by_flow.setdefault(packet.flow, started)
    elif (
        isinstance(packet, Request)
        and len(seen.request_timers_by_id) < MAX_TIMERS
    ):
        kind = 'idempotent' if packet.idempotent else 'non-idempotent'
        started = RunningTimer(service, kind, now)
        seen.request_timers_by_id.setdefault(packet.request_id, started)


def record_response_time(
    seen: Observations, now: float, packet: Packet
) -> None:
    """Stop the timer of an opening or a request that is answered."""
    started: RunningTimer | None = None
    name = REQUEST_SECONDS
    if isinstance(packet, Opened):
        started = seen.open_timers_by_flow.pop(packet.flow, None)
        name = OPEN_SECONDS
    elif isinstance(packet, Answer | Shed):
        started = seen.request_timers_by_id.pop(packet.request_id, None)
    if started is not None:
        key = (name, started.service, started.kind)
        observe(seen.histograms_by_key, key, now - started.started_at)


def expire_timers(seen: Observations, now: float) -> None:
    """Forget what was never answered here."""
    oldest = now - TIMER_LIFETIME.total_seconds()
    for timers in (seen.open_timers_by_flow, seen.request_timers_by_id):
        # Entries stand in the order in which they were started.
        expired = []
        for key, started in timers.items():
            if started.started_at > oldest:
                break
            expired.append(key)
        for key in expired:
            timers.pop(key)
