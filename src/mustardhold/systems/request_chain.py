"""Chain replication of requests along the owners of a bucket.

Every owner stores a request before the last one acts on it. The owners in
two consecutive views have a member in common. That member stops a request
under the second view if it was forwarded under the first.
"""

import msgspec

from mustardhold.systems.answers import (
    CODE_NOT_RUN,
    CODE_UNKNOWN,
    report_outcome_sent,
)
from mustardhold.systems.early_messages import hold_message
from mustardhold.systems.hashing import bucket_of
from mustardhold.systems.ownership import (
    awaits_first_lease,
    is_lease_live,
    is_view_outdated,
)
from mustardhold.systems.request_history import (
    has_complete_history,
    update_owner_history,
)
from mustardhold.systems.request_records import (
    add_record,
    is_handed_over,
    make_record,
    request_key,
    send_not_run,
    send_unknown,
)
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.outbox import Outbox, ToBackend, ToPeer
from mustardhold.tables.request_messages import ChainDropped, RequestChain
from mustardhold.tables.requests import RequestRecord


def handle_request_chain(
    tables: BalancerTables, now: float, chain: RequestChain, outbox: Outbox
) -> None:
    """Store a request as one of its owners and forward it along the chain."""
    is_early = chain.epoch == tables.view.epoch and awaits_first_lease(tables)
    if chain.epoch > tables.view.epoch or is_early:
        hold_message(tables, now, chain)
        return
    update_owner_history(tables, now)
    # A stopping balancer still forwards: the other owners store requests too.
    may_act = tables.is_stopping or is_lease_live(tables, now)
    if not may_act and is_view_outdated(tables):
        # Whether this owner has never forwarded it is certain in that view.
        hold_message(tables, now, chain)
        return
    if chain.epoch != tables.view.epoch or not may_act:
        drop_chain(tables, chain, outbox)
        return
    record = store_from_chain(tables, now, chain)
    if record is None:
        return
    is_history_complete = chain.is_history_complete or is_complete_here(
        tables, now, chain
    )
    rest = msgspec.structs.replace(
        chain, is_history_complete=is_history_complete, owners=chain.owners[1:]
    )
    forward_chain(tables, rest, record, outbox)


def drop_chain(
    tables: BalancerTables, chain: RequestChain, outbox: Outbox
) -> None:
    """Drop a request of another view and notify the owner that started it.

    That primary owner may then restart the request.
    """
    tables.counters[chain.service, 'request-chain-stale'] += 1
    if chain.starter_id and is_never_forwarded(tables, chain):
        dropped = ChainDropped(tables.view.epoch, chain)
        outbox.append(ToPeer(chain.starter_id, dropped))


def is_never_forwarded(tables: BalancerTables, chain: RequestChain) -> bool:
    """Return whether this balancer has not forwarded a chain and never will.

    That is certain if this process has owned the bucket in the chain's view,
    has no record of the request, and acts under a newer view.
    """
    packet = chain.packet
    history = tables.requests.history
    span = history.spans_by_bucket.get(bucket_of(packet.flow))
    if span is None or span.since_epoch > chain.epoch:
        return False
    if span.until_epoch is not None and span.until_epoch <= chain.epoch:
        return False
    key = request_key(packet.flow, packet.request_id)
    is_known = key in tables.requests.records_by_key
    return chain.epoch < tables.view.epoch and not is_known


def is_complete_here(
    tables: BalancerTables, now: float, chain: RequestChain
) -> bool:
    """Return whether this owner has the complete history for a request.

    Never true for an idempotent one, as only the primary owner records it.
    """
    if chain.packet.idempotent:
        return False
    return has_complete_history(tables, now, chain.packet.flow)


def store_from_chain(
    tables: BalancerTables, now: float, chain: RequestChain
) -> RequestRecord | None:
    """Store a request; return None if its chain has to stop here."""
    packet = chain.packet
    key = request_key(packet.flow, packet.request_id)
    record = tables.requests.records_by_key.get(key)
    if is_handed_over(tables, packet.flow, key):
        tables.counters[chain.service, 'request-chain-stopped'] += 1
        return None
    if record is None:
        record = make_record(
            now, packet, chain.service, chain.backend_id, chain.epoch
        )
        record.refusal = chain.refusal
        return record if add_record(tables, key, record) else None
    if is_restarted_by(record, chain):
        record.epoch = chain.epoch
    if record.epoch != chain.epoch or record.refusal != chain.refusal:
        tables.counters[chain.service, 'request-chain-stopped'] += 1
        return None
    return record


def is_restarted_by(record: RequestRecord, chain: RequestChain) -> bool:
    """Return whether only an earlier start of a request is known here."""
    if not chain.replaced_epoch or record.is_chain_finished:
        return False
    return record.epoch == chain.replaced_epoch


def forward_chain(
    tables: BalancerTables,
    chain: RequestChain,
    record: RequestRecord,
    outbox: Outbox,
) -> None:
    """Forward a request to the next owner, or act on it as the last one."""
    if chain.owners:
        outbox.append(ToPeer(chain.owners[0], chain))
    elif not chain.is_history_complete:
        send_unknown(tables, record, 'cannot-rule-out', outbox)
        report_outcome_sent(tables, record, CODE_UNKNOWN, outbox)
    elif chain.refusal:
        send_not_run(tables, record, outbox)
        report_outcome_sent(tables, record, CODE_NOT_RUN, outbox)
    elif not record.is_chain_finished:
        record.is_chain_finished = True
        send_to_server(tables, chain, record, outbox)


def send_to_server(
    tables: BalancerTables,
    chain: RequestChain,
    record: RequestRecord,
    outbox: Outbox,
) -> None:
    """Send a request to its server as the last owner, and only once."""
    known = tables.backends_by_id.get(chain.backend_id)
    if known is None:
        tables.counters[chain.service, 'chain-unknown-server'] += 1
        return
    tables.counters[chain.service, 'request-forwarded'] += 1
    outbox.append(ToBackend(known.announced.address, chain.packet))
