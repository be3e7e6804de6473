"""Restarts requests whose chain under an earlier view was interrupted.

A view may change while a request is being forwarded along its owners. An
owner that has the newer view must drop the request and notifies the primary
owner, which restarts the chain.
"""

from mustardhold.systems.dispatch import is_active_primary, start_chain
from mustardhold.systems.early_messages import hold_message
from mustardhold.systems.request_records import request_key
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.outbox import Outbox
from mustardhold.tables.request_messages import ChainDropped, RequestChain
from mustardhold.tables.requests import RequestRecord, RequestState


def handle_chain_dropped(
    tables: BalancerTables, now: float, message: ChainDropped, outbox: Outbox
) -> None:
    """Restart a dropped request once the view of the dropping owner is current.

    That owner has not stored the request and never will under the earlier
    view, so it has not forwarded it towards the last owner.
    """
    if message.epoch > tables.view.epoch:
        hold_message(tables, now, message)
        return
    chain = message.chain
    key = request_key(chain.packet.flow, chain.packet.request_id)
    record = tables.requests.records_by_key.get(key)
    if record is None or not is_latest_chain(record, chain):
        return
    if chain.epoch == tables.view.epoch:
        return
    if not is_active_primary(tables, now, chain.packet.flow):
        return
    tables.counters[chain.service, 'request-chain-restarted'] += 1
    record.replaced_epoch = chain.epoch
    record.epoch = tables.view.epoch
    start_chain(tables, now, record, chain.packet, outbox)


def is_latest_chain(record: RequestRecord, chain: RequestChain) -> bool:
    """Return whether a chain is the latest start of a request in progress."""
    is_latest = record.epoch == chain.epoch and record.refusal == chain.refusal
    is_open = record.state is not RequestState.ENDED
    return record.is_primary and is_latest and is_open
