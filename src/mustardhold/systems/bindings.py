"""Determines which service holds the unrecorded flows of an address.

A route may give an address to another service while flows of the previous one
continue. Unrecorded flows are at the assigned servers of the service that the
address was bound to first. The coordinator frees an address for another
service once every member with a lease sends its packets through their owners.
"""

import msgspec

from mustardhold.systems.placement_versions import next_placement_version
from mustardhold.systems.routing import SERVICE_OFFSET
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.packets import FlowKey
from mustardhold.tables.placement import Bindings


def opening_service(tables: BalancerTables, flow: FlowKey) -> str | None:
    """Return the service that a new flow belongs to."""
    address = flow[SERVICE_OFFSET:]
    routed = tables.service_by_address.get(address)
    bindings = tables.placements.bindings
    bound = bindings.service_by_address.get(address)
    if routed is None or bound is None or address in bindings.freed:
        return routed
    return bound


def settled_service(tables: BalancerTables, flow: FlowKey) -> str | None:
    """Return the service whose settled buckets may hold a flow, if any."""
    address = flow[SERVICE_OFFSET:]
    bindings = tables.placements.bindings
    bound = bindings.service_by_address.get(address)
    if bound is None or address in bindings.moved:
        return None
    return bound


def bound_service(tables: BalancerTables, flow: FlowKey) -> str | None:
    """Return the service that holds the unrecorded flows of an address."""
    bindings = tables.placements.bindings
    return bindings.service_by_address.get(flow[SERVICE_OFFSET:])


def plan_bindings(tables: BalancerTables, *, acknowledged: bool) -> Bindings:
    """Bind new addresses, and free those whose route has changed.

    Parameters
    ----------
    acknowledged
        Whether every member with a lease has the current version.
    """
    current = tables.placements.bindings
    routed = tables.service_by_address
    bound = current.service_by_address
    added = {
        address: service
        for address, service in routed.items()
        if address not in bound
    }
    moved = {
        address
        for address, service in bound.items()
        if routed.get(address) != service
    }
    has_changes = bool(added) or not moved <= current.moved
    freed = current.moved if acknowledged else current.freed
    if not has_changes and freed == current.freed:
        return current
    return Bindings({**bound, **added}, current.moved | moved, freed)


def update_bindings(tables: BalancerTables, acknowledged_version: int) -> None:
    """Install the next bindings, as coordinator."""
    current = tables.placements
    acknowledged = acknowledged_version >= current.version
    bindings = plan_bindings(tables, acknowledged=acknowledged)
    if bindings != current.bindings:
        tables.placements = msgspec.structs.replace(
            current, version=next_placement_version(tables), bindings=bindings
        )
