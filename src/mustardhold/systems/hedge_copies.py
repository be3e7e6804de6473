"""Sends copies of slow requests, and decides which answer is used."""

import heapq
import struct

import msgspec

from mustardhold.systems.admission import (
    end_record,
    narrow_window,
    window_for,
)
from mustardhold.systems.copy_flows import await_opening, copy_flow_to
from mustardhold.systems.dispatch import is_active_primary
from mustardhold.systems.hedge_endings import (
    add_event,
    end_hedge,
    send_to_server,
)
from mustardhold.systems.hedge_promises import request_promises
from mustardhold.systems.hedging import (
    choose_target,
    hedge_delay,
    reason_against_copy,
    record_latency,
    schedule_hedge,
    spend_token,
)
from mustardhold.systems.request_records import remaining_packet
from mustardhold.systems.retries import credit_retry_budget
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import MAX_COPY_PARTS
from mustardhold.tables.hedging import CopyFlow, Hedge, HedgeOutcome
from mustardhold.tables.outbox import Outbox, ToCaller
from mustardhold.tables.packets import Answer, Cancel, Shed
from mustardhold.tables.request_messages import HedgePromise
from mustardhold.tables.requests import RequestState

MS_PER_SECOND = 1000
# The id of a copy begins with the key of its request.
KEY_BYTES = 8


def run_due_hedges(tables: BalancerTables, now: float, outbox: Outbox) -> None:
    """Send copies of the requests that are outstanding for long enough."""
    timers = tables.hedging.timers
    while timers and timers[0][0] <= now:
        _, key = heapq.heappop(timers)
        consider_copy(tables, now, key, outbox)


def consider_copy(
    tables: BalancerTables, now: float, key: bytes, outbox: Outbox
) -> None:
    """Send a copy of a request, unless it is answered or not slow enough.

    An owner that was held up sends none for requests whose deadline has passed.
    """
    record = tables.requests.records_by_key.get(key)
    if record is None or record.is_hedged or now >= record.deadline_at:
        return
    delay = hedge_delay(tables, record)
    if delay is None or now < record.sent_at + delay:
        schedule_hedge(tables, now, key, record)
        return
    obstacle = reason_against_copy(tables, now, record)
    if not is_active_primary(tables, now, record.flow):
        obstacle = 'owner-changed'
    target = None if obstacle else choose_target(tables, now, record)
    if target is None:
        reason = obstacle or 'no-server'
        if reason != 'answered':
            tables.counters[record.service, f'hedge-skipped-{reason}'] += 1
        return
    copy_flow = copy_flow_to(tables, now, target, record.flow, outbox)
    if copy_flow is None:
        tables.counters[record.service, 'hedge-skipped-no-flow'] += 1
    elif copy_flow.is_open:
        send_copy(tables, now, key, copy_flow, outbox)
    else:
        await_opening(copy_flow, key)


def send_copy(
    tables: BalancerTables,
    now: float,
    key: bytes,
    copy_flow: CopyFlow,
    outbox: Outbox,
) -> None:
    """Send the copy of a request to another server.

    The id of a copy is new, since the ids of several callers in the same flow
    may be equal, and a balancer that restarts may use the same flow again.
    """
    record = tables.requests.records_by_key[key]
    if record.packet is None:
        return
    spend_token(tables, record.service)
    record.is_hedged = True
    hedge = Hedge(
        key + struct.pack('!d', now),
        copy_flow.flow,
        copy_flow.backend_id,
        tables.view.epoch,
        now,
        set(tables.view.members_by_id) - {tables.instance_id},
    )
    tables.hedging.hedges_by_key[key] = hedge
    tables.hedging.running_by_key[key] = hedge
    window_for(tables, hedge.backend_id).in_flight += 1
    packet = msgspec.structs.replace(
        remaining_packet(record.packet, record.deadline_at, now),
        flow=hedge.copy_flow,
        request_id=hedge.copy_id,
    )
    send_to_server(tables, hedge.backend_id, packet, outbox)
    request_promises(tables, key, hedge, outbox)
    waited_ms = (now - record.sent_at) * MS_PER_SECOND
    tables.counters[record.service, 'hedged'] += 1
    reason = f'{record.backend_id} sent no answer in {waited_ms:.0f} ms'
    add_event(tables, now, record, hedge, ('hedged', reason, None))


def handle_copy_answer(
    tables: BalancerTables, now: float, packet: Answer, outbox: Outbox
) -> None:
    """Store a part of a copy's answer, and use the answer once it is whole."""
    key = key_of_original(packet)
    hedge = running_hedge(tables, packet)
    if hedge is None:
        tables.counters['', 'copy-answer-late'] += 1
        return
    if packet.part >= packet.parts or packet.parts > MAX_COPY_PARTS:
        tables.counters['', 'copy-answer-too-long'] += 1
        end_hedge(tables, now, key, HedgeOutcome.CANCELLED, outbox)
        return
    hedge.parts[packet.part] = packet
    use_copy(tables, now, key, hedge, outbox)


def key_of_original(packet: Answer | Shed) -> bytes:
    """Return the key of the request whose copy a server's packet is about."""
    return packet.request_id[:KEY_BYTES]


def running_hedge(
    tables: BalancerTables, packet: Answer | Shed
) -> Hedge | None:
    """Return the running copy that a server's packet is about."""
    hedge = tables.hedging.running_by_key.get(key_of_original(packet))
    if hedge is None:
        return None
    expected = (hedge.copy_flow, hedge.copy_id)
    return hedge if (packet.flow, packet.request_id) == expected else None


def handle_copy_shed(
    tables: BalancerTables, now: float, packet: Shed, outbox: Outbox
) -> None:
    """Give up a copy that its server refused."""
    hedge = running_hedge(tables, packet)
    if hedge is not None:
        narrow_window(tables, hedge.backend_id)
        key = key_of_original(packet)
        end_hedge(tables, now, key, HedgeOutcome.CANCELLED, outbox)


def handle_hedge_promise(
    tables: BalancerTables, now: float, message: HedgePromise, outbox: Outbox
) -> None:
    """Record a member's promise; if it was the last, use the copy's answer."""
    hedge = tables.hedging.running_by_key.get(message.key)
    if hedge is not None and hedge.epoch == message.epoch:
        hedge.awaited.discard(message.member_id)
        use_copy(tables, now, message.key, hedge, outbox)


def is_whole(hedge: Hedge) -> bool:
    """Return whether all parts of a copy's answer have arrived.

    Parts that disagree on their number never make an answer.
    """
    count = len(hedge.parts)
    return count > 0 and all(
        packet.parts == count and number < count
        for number, packet in hedge.parts.items()
    )


def use_copy(
    tables: BalancerTables,
    now: float,
    key: bytes,
    hedge: Hedge,
    outbox: Outbox,
) -> None:
    """Answer a request by its copy if that is whole and certainly first."""
    record = tables.requests.records_by_key.get(key)
    if record is None or hedge.awaited or not is_whole(hedge):
        return
    if record.parts_seen or record.state is not RequestState.SENT:
        return
    is_current = hedge.epoch == tables.view.epoch
    if not (is_current and is_active_primary(tables, now, record.flow)):
        return
    for _, packet in sorted(hedge.parts.items()):
        part = msgspec.structs.replace(
            packet, flow=record.flow, request_id=record.request_id
        )
        outbox.append(ToCaller(part))
    cancel = Cancel(record.flow, record.request_id)
    send_to_server(tables, record.backend_id, cancel, outbox)
    tables.counters[record.service, 'answered'] += 1
    record_latency(tables, now, record)
    credit_retry_budget(tables, record.service)
    end_record(tables, record)
    end_hedge(tables, now, key, HedgeOutcome.WON, outbox)


def finish_ended_hedges(
    tables: BalancerTables, now: float, outbox: Outbox
) -> None:
    """End the copies of requests that were answered or ended otherwise."""
    for key, hedge in tuple(tables.hedging.running_by_key.items()):
        record = tables.requests.records_by_key.get(key)
        if record is not None and record.parts_seen:
            end_hedge(tables, now, key, HedgeOutcome.LOST, outbox)
        elif (
            record is None
            or record.state is RequestState.ENDED
            or hedge.epoch != tables.view.epoch
        ):
            end_hedge(tables, now, key, HedgeOutcome.CANCELLED, outbox)


def resend_promise_requests(tables: BalancerTables, outbox: Outbox) -> None:
    """Ask again for the promises that answered copies still wait for."""
    for key, hedge in tables.hedging.running_by_key.items():
        if is_whole(hedge):
            request_promises(tables, key, hedge, outbox)
