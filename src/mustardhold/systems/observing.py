"""Records latencies and decisions from the packets of a balancer."""

from bisect import bisect_left

from mustardhold.systems.copy_flows import is_copy_flow
from mustardhold.systems.histograms import (
    HEDGE_SECONDS,
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


def relay_histogram(observations: Observations) -> Histogram:
    """Build the histogram of relay hops from their counts."""
    histogram = Histogram(HOP_BOUNDS)
    for hops, count in observations.relays_by_hops.items():
        histogram.counts[bisect_left(HOP_BOUNDS, hops)] += count
        histogram.total += hops * count
    return histogram


def all_histograms(observations: Observations) -> dict[HistogramKey, Histogram]:
    """Collect all histograms by name, service and class."""
    relays = {(RELAY_HOPS, '', ''): relay_histogram(observations)}
    return {**observations.histograms_by_key, **relays}


def record_send(
    observations: Observations, tables: BalancerTables, now: float, send: Send
) -> None:
    """Store the decision behind an outgoing packet and start its timer."""
    if isinstance(send, ToPeer):
        if isinstance(send.message, Relay):
            record_relay(
                observations, tables, now, send.message, send.instance_id
            )
        return
    packet = send.packet
    if is_copy_flow(packet.flow):
        return
    outcome = OUTCOME_BY_KIND.get(type(packet))
    if outcome is None:
        return
    reason = getattr(packet, 'reason', '')
    target = 'caller'
    if isinstance(send, ToBackend):
        target = send.address
        reason = 'the flow is placed on this server'
        start_timer(observations, tables, now, packet)
    store_decision(observations, tables, now, packet, (outcome, target, reason))


def record_hedges(observations: Observations, tables: BalancerTables) -> None:
    """Store the decisions about copies, and the time that ended ones took.

    They stand under the request of the caller, not under that of the copy.
    """
    events = tables.hedging.events
    while events:
        event = events.popleft()
        observations.decisions.append(
            DecisionRecord(
                event.at,
                event.flow,
                event.request_id,
                event.outcome,
                event.target,
                event.reason,
                tables.routing.version,
                tables.view.epoch,
            )
        )
        if event.seconds is not None:
            key = (HEDGE_SECONDS, event.service, event.outcome)
            observe(observations.histograms_by_key, key, event.seconds)


def record_relay(
    observations: Observations,
    tables: BalancerTables,
    now: float,
    message: Relay,
    target: str,
) -> None:
    """Store the decision to relay a packet to another balancer."""
    packet = message.packet
    if OUTCOME_BY_KIND.get(type(packet)) is not None:
        details = (
            'relayed',
            target,
            f'owner of the bucket, hop {message.hops}',
        )
        store_decision(observations, tables, now, packet, details)


def store_decision(
    observations: Observations,
    tables: BalancerTables,
    now: float,
    packet: Packet,
    details: tuple[str, str, str],
) -> None:
    """Store a decision with its outcome, target and reason."""
    observations.decisions.append(
        DecisionRecord(
            now,
            packet.flow,
            getattr(packet, 'request_id', b''),
            *details,
            tables.routing.version,
            tables.view.epoch,
        )
    )


def start_timer(
    observations: Observations,
    tables: BalancerTables,
    now: float,
    packet: Packet,
) -> None:
    """Start the timer of an opening or a request sent to its server."""
    service = service_of(tables, packet.flow) or ''
    if isinstance(packet, Open):
        if len(observations.open_timers_by_flow) < MAX_TIMERS:
            started = RunningTimer(service, 'open', now)
            observations.open_timers_by_flow.setdefault(packet.flow, started)
    elif (
        isinstance(packet, Request)
        and len(observations.request_timers_by_id) < MAX_TIMERS
    ):
        kind = 'idempotent' if packet.idempotent else 'non-idempotent'
        started = RunningTimer(service, kind, now)
        observations.request_timers_by_id.setdefault(packet.request_id, started)


def record_response_time(
    observations: Observations, now: float, packet: Packet
) -> None:
    """Record how long the answer to an opening or a request took."""
    started: RunningTimer | None = None
    name = REQUEST_SECONDS
    if isinstance(packet, Opened):
        started = observations.open_timers_by_flow.pop(packet.flow, None)
        name = OPEN_SECONDS
    elif isinstance(packet, Answer | Shed):
        started = observations.request_timers_by_id.pop(packet.request_id, None)
    if started is not None:
        key = (name, started.service, started.kind)
        observe(observations.histograms_by_key, key, now - started.started_at)


def expire_timers(observations: Observations, now: float) -> None:
    """Drop the timers of packets that were never answered here."""
    oldest = now - TIMER_LIFETIME.total_seconds()
    for timers in (
        observations.open_timers_by_flow,
        observations.request_timers_by_id,
    ):
        # Entries are in the order in which they were started.
        expired = []
        for key, started in timers.items():
            if started.started_at > oldest:
                break
            expired.append(key)
        for key in expired:
            timers.pop(key)
