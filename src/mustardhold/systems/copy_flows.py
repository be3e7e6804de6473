"""Flows that carry copies of requests to other servers than their own.

A server answers only requests of flows that it holds, and any balancer passes
its answers on to the caller that the flow names. So a copy travels in a flow of
its owner's own: its caller address is one that no caller has, and its bucket is
one whose primary owner is this balancer.
"""

import struct

import xxhash

from mustardhold.systems.hedging import open_servers
from mustardhold.systems.ownership import owners_of_flow
from mustardhold.systems.routing import SERVICE_OFFSET, service_of
from mustardhold.tables.backends import KnownBackend
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import (
    COPY_FLOW_IDLE,
    COPY_FLOW_RETRY,
    MAX_COPIES_WAITING,
)
from mustardhold.tables.hedging import CopyFlow
from mustardhold.tables.outbox import Outbox, ToBackend
from mustardhold.tables.packets import Close, Open

# 0.0.0.0, the source address of no packet.
COPY_CALLER = bytes(4)
PORTS = 2**16 - 1
MAX_TRIES = 4096


def is_copy_flow(flow: bytes) -> bool:
    """Return whether a flow carries copies of requests."""
    return flow.startswith(COPY_CALLER)


def is_own_flow(tables: BalancerTables, flow: bytes) -> bool:
    """Return whether this balancer is the primary owner of a flow."""
    return owners_of_flow(tables, flow)[:1] == (tables.instance_id,)


def make_copy_flow(
    tables: BalancerTables, backend_id: str, service_address: bytes
) -> bytes | None:
    """Make the key of a flow to a server, the same after a restart."""
    used = {one.flow for one in tables.hedging.flows_by_server.values()}
    for number in range(MAX_TRIES):
        name = f'{tables.instance_id}/{backend_id}/{number}'
        port = xxhash.xxh3_64_intdigest(name.encode()) % PORTS + 1
        flow = COPY_CALLER + struct.pack('!H', port) + service_address
        if is_own_flow(tables, flow) and flow not in used:
            return flow
    return None


def copy_flow_to(
    tables: BalancerTables,
    now: float,
    server: KnownBackend,
    flow: bytes,
    outbox: Outbox,
) -> CopyFlow | None:
    """Return the flow that carries copies of a flow's requests to a server.

    It is opened if it is not open yet.
    """
    flows = tables.hedging.flows_by_server
    backend_id = server.announced.backend_id
    key = (backend_id, flow[SERVICE_OFFSET:])
    found = flows.get(key)
    if found is None:
        made = make_copy_flow(tables, *key)
        if made is None:
            return None
        found = CopyFlow(made, backend_id, -COPY_FLOW_RETRY.total_seconds(), 0)
        flows[key] = found
    found.used_at = now
    is_due = now - found.asked_at >= COPY_FLOW_RETRY.total_seconds()
    if not found.is_open and is_due:
        found.asked_at = now
        outbox.append(ToBackend(server.announced.address, Open(found.flow)))
    return found


def await_opening(copy_flow: CopyFlow, key: bytes) -> None:
    """Let a request's copy wait until its flow is open."""
    if len(copy_flow.waiting) < MAX_COPIES_WAITING:
        copy_flow.waiting.append(key)


def find_copy_flow(tables: BalancerTables, flow: bytes) -> CopyFlow | None:
    """Return this owner's flow for copies with a key, if it has it."""
    return next(
        (
            one
            for one in tables.hedging.flows_by_server.values()
            if one.flow == flow
        ),
        None,
    )


def close_copy_flows(
    tables: BalancerTables, now: float, outbox: Outbox
) -> None:
    """Close the flows that are idle, or whose server or owner may drain."""
    flows = tables.hedging.flows_by_server
    for key, copy_flow in tuple(flows.items()):
        if is_needed(tables, now, copy_flow):
            continue
        flows.pop(key)
        server = tables.backends_by_id.get(copy_flow.backend_id)
        if server is not None:
            closing = Close(copy_flow.flow)
            outbox.append(ToBackend(server.announced.address, closing))


def is_needed(tables: BalancerTables, now: float, copy_flow: CopyFlow) -> bool:
    """Return whether a flow for copies is kept open."""
    is_idle = now - copy_flow.used_at > COPY_FLOW_IDLE.total_seconds()
    if is_idle or tables.is_stopping:
        return False
    if not is_own_flow(tables, copy_flow.flow):
        return False
    service = service_of(tables, copy_flow.flow) or ''
    return any(
        server.announced.backend_id == copy_flow.backend_id
        for server in open_servers(tables, service)
    )
