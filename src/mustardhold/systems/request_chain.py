"""Requests on their way along the owners of a bucket.

Every owner stores a request before the last one acts on it. Two sets of
owners that follow each other share a member, so a request that was forwarded
under one view is stopped by that member under the next.
"""

from mustardhold.systems.answers import (
    CODE_NOT_RUN,
    CODE_UNKNOWN,
    note_told,
)
from mustardhold.systems.completeness import is_complete, note_view
from mustardhold.systems.ownership import is_lease_live
from mustardhold.systems.request_records import (
    add_record,
    is_handed_over,
    make_record,
    request_key,
    tell_not_run,
    tell_unknown,
)
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.outbox import Outbox, ToBackend, ToPeer
from mustardhold.tables.request_messages import RequestChain
from mustardhold.tables.requests import RequestRecord


def take_request_chain(
    tables: BalancerTables, now: float, chain: RequestChain, outbox: Outbox
) -> None:
    """Store a request as one of its owners and pass it on."""
    note_view(tables, now)
    # One that leaves still passes requests on: the other owners have them too.
    may_act = tables.stopping or is_lease_live(tables, now)
    if chain.epoch != tables.view.epoch or not may_act:
        tables.counters[chain.service, 'request-chain-stale'] += 1
        return
    record = store_from_chain(tables, now, chain)
    if record is None:
        return
    is_vouched = chain.is_vouched or is_vouched_here(tables, now, chain)
    rest = RequestChain(
        chain.epoch,
        chain.packet,
        chain.service,
        chain.backend_id,
        chain.refusal,
        is_vouched,
        chain.owners[1:],
    )
    pass_request(tables, rest, record, outbox)


def is_vouched_here(
    tables: BalancerTables, now: float, chain: RequestChain
) -> bool:
    """Tell whether this owner knows every earlier such request."""
    if chain.packet.idempotent:
        return False
    return is_complete(tables, now, chain.packet.flow)


def store_from_chain(
    tables: BalancerTables, now: float, chain: RequestChain
) -> RequestRecord | None:
    """Store a request, unless it is known in a way that stops it here."""
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
    if record.epoch != chain.epoch or record.refusal != chain.refusal:
        tables.counters[chain.service, 'request-chain-stopped'] += 1
        return None
    return record


def pass_request(
    tables: BalancerTables,
    chain: RequestChain,
    record: RequestRecord,
    outbox: Outbox,
) -> None:
    """Pass a request to the next owner, or act on it as the last one."""
    if chain.owners:
        outbox.append(ToPeer(chain.owners[0], chain))
    elif not chain.is_vouched:
        tell_unknown(tables, record, 'cannot-rule-out', outbox)
        note_told(tables, record, CODE_UNKNOWN, outbox)
    elif chain.refusal:
        tell_not_run(tables, record, outbox)
        note_told(tables, record, CODE_NOT_RUN, outbox)
    elif not record.is_concluded:
        record.is_concluded = True
        send_to_server(tables, chain, record, outbox)


def send_to_server(
    tables: BalancerTables,
    chain: RequestChain,
    record: RequestRecord,
    outbox: Outbox,
) -> None:
    """Forward a request as the last owner; it is the only time."""
    known = tables.backends_by_id.get(chain.backend_id)
    if known is None:
        tables.counters[chain.service, 'chain-unknown-server'] += 1
        return
    tables.counters[chain.service, 'request-forwarded'] += 1
    outbox.append(ToBackend(known.announced.address, chain.packet))
