"""Ends copies of requests, and records the decisions about them."""

from mustardhold.systems.admission import has_waiting, window_for
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.hedging import Hedge, HedgeEvent, HedgeOutcome
from mustardhold.tables.outbox import Outbox, ToBackend
from mustardhold.tables.packets import Cancel, Request
from mustardhold.tables.requests import RequestRecord

REASON_BY_OUTCOME = {
    HedgeOutcome.WON: 'the copy was answered first',
    HedgeOutcome.LOST: 'the server of the flow answered first',
    HedgeOutcome.CANCELLED: 'the copy is no longer needed or was not run',
}


def end_hedge(
    tables: BalancerTables,
    now: float,
    key: bytes,
    outcome: HedgeOutcome,
    outbox: Outbox,
) -> None:
    """End a copy and release its slot; cancel it unless it was answered."""
    hedge = tables.hedging.running_by_key.pop(key)
    hedge.outcome = outcome
    hedge.parts.clear()
    window = window_for(tables, hedge.backend_id)
    window.in_flight -= 1
    if has_waiting(window):
        tables.requests.ready_backends.add(hedge.backend_id)
    if outcome is not HedgeOutcome.WON:
        cancel = Cancel(hedge.copy_flow, hedge.copy_id)
        send_to_server(tables, hedge.backend_id, cancel, outbox)
    record = tables.requests.records_by_key.get(key)
    if record is None:
        return
    tables.counters[record.service, f'hedge-{outcome}'] += 1
    details = (
        f'hedge-{outcome}',
        REASON_BY_OUTCOME[outcome],
        now - hedge.sent_at,
    )
    add_event(tables, now, record, hedge, details)


def add_event(
    tables: BalancerTables,
    now: float,
    record: RequestRecord,
    hedge: Hedge,
    details: tuple[str, str, float | None],
) -> None:
    """Record a decision on a copy.

    Parameters
    ----------
    details
        Outcome, reason, and time from sending the copy in seconds; None if it
        was just sent.
    """
    outcome, reason, seconds = details
    tables.hedging.events.append(
        HedgeEvent(
            now,
            record.flow,
            record.request_id,
            record.service,
            outcome,
            hedge.backend_id,
            reason,
            seconds,
        )
    )


def send_to_server(
    tables: BalancerTables,
    backend_id: str,
    packet: Request | Cancel,
    outbox: Outbox,
) -> None:
    """Send a packet to a server, if it is known."""
    known = tables.backends_by_id.get(backend_id)
    if known is not None:
        outbox.append(ToBackend(known.announced.address, packet))
