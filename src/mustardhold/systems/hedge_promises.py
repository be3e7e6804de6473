"""Promises of the members to relay the answers of hedged requests.

Any balancer passes an answer on to its caller. While a request has a copy, its
owner must see both answers first, or its caller could get both or a mixture. So
the owner uses a copy's answer only after each member has promised to relay the
other one to it.
"""

from mustardhold.systems.answers import flush_answer_reports
from mustardhold.systems.ownership import owners_of_flow
from mustardhold.systems.request_records import request_key
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import (
    MAX_HEDGE_PROMISES,
    REQUEST_RECORD_LIFETIME,
)
from mustardhold.tables.hedging import Hedge, HedgeOutcome
from mustardhold.tables.outbox import Outbox, ToPeer
from mustardhold.tables.packets import Answer
from mustardhold.tables.peers import Relay
from mustardhold.tables.request_messages import HedgePromise, HedgeStarted


def request_promises(
    tables: BalancerTables, key: bytes, hedge: Hedge, outbox: Outbox
) -> None:
    """Ask the members that have not promised yet."""
    message = HedgeStarted(tables.instance_id, hedge.epoch, key)
    outbox.extend(ToPeer(name, message) for name in sorted(hedge.awaited))


def handle_hedge_started(
    tables: BalancerTables, now: float, message: HedgeStarted, outbox: Outbox
) -> None:
    """Promise to relay a request's answer to its owner in the current view.

    The owner first gets the reports of the parts that were passed on.
    """
    promises = tables.hedging.promised_until_by_key
    if message.epoch != tables.view.epoch:
        return
    promises.pop(message.key, None)
    if len(promises) >= MAX_HEDGE_PROMISES:
        tables.counters['', 'hedge-promises-full'] += 1
        return
    promises[message.key] = now + REQUEST_RECORD_LIFETIME.total_seconds()
    flush_answer_reports(tables, outbox)
    promise = HedgePromise(tables.instance_id, message.epoch, message.key)
    outbox.append(ToPeer(message.owner_id, promise))


def expire_promises(tables: BalancerTables, now: float) -> None:
    """Drop the promises about requests that have no record any more."""
    promises = tables.hedging.promised_until_by_key
    while promises:
        key = next(iter(promises))
        if now < promises[key]:
            return
        promises.pop(key)


def divert_answer(
    tables: BalancerTables, packet: Answer, outbox: Outbox
) -> bool:
    """Relay the answer of a hedged request, or drop it if it is too late.

    Returns
    -------
    bool
        Whether the answer must not be passed on to its caller here.
    """
    key = request_key(packet.flow, packet.request_id)
    owner = owners_of_flow(tables, packet.flow)[0]
    if owner == tables.instance_id:
        return drop_late_answer(tables, key)
    if key not in tables.hedging.promised_until_by_key:
        return False
    relay = Relay(tables.instance_id, tables.view.epoch, 1, packet)
    outbox.append(ToPeer(owner, relay))
    return True


def drop_late_answer(tables: BalancerTables, key: bytes) -> bool:
    """Return whether an answer lost against that of its copy; count it."""
    hedge = tables.hedging.hedges_by_key.get(key)
    if hedge is None or hedge.outcome is not HedgeOutcome.WON:
        return False
    tables.counters['', 'hedge-late-answer'] += 1
    return True


def allow_answers(tables: BalancerTables, key: bytes) -> None:
    """Pass the answers of a request on again, as its caller repeated it."""
    hedge = tables.hedging.hedges_by_key.get(key)
    if hedge is not None and hedge.outcome is HedgeOutcome.WON:
        hedge.outcome = HedgeOutcome.LOST
