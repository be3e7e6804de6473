"""Restarts requests whose chain under an earlier view was interrupted.

A view may change while a request is being forwarded along its owners. An
owner that has the newer view must drop the request and notifies the primary
owner, which restarts the chain. If the bucket has another primary owner in the
newer view, the request is handed over to that one.
"""

import msgspec

from mustardhold.systems.admission import release_slot
from mustardhold.systems.dispatch import is_active_primary, start_chain
from mustardhold.systems.early_messages import hold_message
from mustardhold.systems.ownership import awaits_first_lease, owners_of_flow
from mustardhold.systems.request_history import update_owner_history
from mustardhold.systems.request_records import (
    add_record,
    make_record,
    remaining_packet,
    request_key,
)
from mustardhold.systems.requests import admit_request
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.outbox import Outbox, ToPeer
from mustardhold.tables.request_messages import ChainDropped, RequestChain
from mustardhold.tables.requests import RequestRecord, RequestState


def handle_chain_dropped(
    tables: BalancerTables, now: float, message: ChainDropped, outbox: Outbox
) -> None:
    """Restart a dropped request, or hand it over to the next primary owner.

    The message is held until the view of the dropping owner is installed here.
    That owner has not stored the request and never will under the earlier
    view, so it has not forwarded it towards the last owner.
    """
    if message.epoch > tables.view.epoch:
        hold_message(tables, now, message)
        return
    chain = message.chain
    if chain.starter_id != tables.instance_id:
        take_over_request(tables, now, message, outbox)
        return
    key = request_key(chain.packet.flow, chain.packet.request_id)
    record = tables.requests.records_by_key.get(key)
    if record is None or not is_latest_chain(record, chain):
        return
    if chain.epoch == tables.view.epoch:
        return
    if is_active_primary(tables, now, chain.packet.flow):
        tables.counters[chain.service, 'request-chain-restarted'] += 1
        record.replaced_epoch = chain.epoch
        record.epoch = tables.view.epoch
        start_chain(tables, now, record, chain.packet, outbox)
    else:
        hand_over_request(tables, now, record, chain, outbox)


def is_latest_chain(record: RequestRecord, chain: RequestChain) -> bool:
    """Return whether a chain is the latest start of a request in progress."""
    is_latest = record.epoch == chain.epoch and record.refusal == chain.refusal
    is_open = record.state is not RequestState.ENDED
    return record.is_primary and is_latest and is_open


def hand_over_request(
    tables: BalancerTables,
    now: float,
    record: RequestRecord,
    chain: RequestChain,
    outbox: Outbox,
) -> None:
    """Hand a dropped request over to the primary owner of the current view.

    The record gets the current epoch, so that it never restarts the request
    here and does not stop a chain of the current view. This owner still reports
    an unknown outcome at the deadline, since the message may be lost.
    """
    primary = owners_of_flow(tables, record.flow)[0]
    if chain.refusal or primary == tables.instance_id:
        return
    tables.counters[chain.service, 'request-chain-handed-over'] += 1
    record.epoch = tables.view.epoch
    release_slot(tables, record)
    # The chain has the time that was left at its start, which may be long ago.
    packet = remaining_packet(chain.packet, record.deadline_at, now)
    current = msgspec.structs.replace(chain, packet=packet)
    outbox.append(ToPeer(primary, ChainDropped(tables.view.epoch, current)))


def take_over_request(
    tables: BalancerTables, now: float, message: ChainDropped, outbox: Outbox
) -> None:
    """Start a request that the earlier primary owner has handed over.

    Only in the view in which it was handed over: no other balancer starts the
    request in that view, but the primary owner of a later one may.
    """
    if message.epoch != tables.view.epoch:
        return
    if awaits_first_lease(tables):
        hold_message(tables, now, message)
        return
    chain = message.chain
    packet = chain.packet
    if not is_active_primary(tables, now, packet.flow):
        return
    update_owner_history(tables, now)
    key = request_key(packet.flow, packet.request_id)
    record = tables.requests.records_by_key.get(key)
    if record is None:
        record = make_record(
            now, packet, chain.service, chain.backend_id, chain.epoch
        )
        if not add_record(tables, key, record):
            return
    elif not is_unfinished_copy(record, chain):
        return
    tables.counters[chain.service, 'request-chain-taken-over'] += 1
    record.is_primary = True
    record.replaced_epoch = chain.epoch
    record.epoch = tables.view.epoch
    admit_request(tables, now, key, packet, outbox)


def is_unfinished_copy(record: RequestRecord, chain: RequestChain) -> bool:
    """Return whether a record was stored from this chain, and not acted on.

    A record of another start, or of a request that this balancer has admitted
    itself, must not be replaced: that request may run.
    """
    if record.is_primary or record.is_chain_finished or record.refusal:
        return False
    is_open = record.state is not RequestState.ENDED
    return is_open and record.epoch == chain.epoch
