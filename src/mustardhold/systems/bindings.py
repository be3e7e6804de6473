"""Which service's base servers hold the unrecorded flows of an address.

A route may give an address to another service while flows of the former one
go on. Unrecorded flows are at the bases of the service that the address was
bound to first; the coordinator frees an address for another service once
every member with a lease sends its packets through their owners.
"""

import msgspec

from mustardhold.systems.placement_versions import next_placement_version
from mustardhold.systems.routing import SERVICE_OFFSET
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.packets import FlowKey
from mustardhold.tables.placement import Bindings


def opening_service(tables: BalancerTables, flow: FlowKey) -> str | None:
    """Find the service that a new flow belongs to."""
    address = flow[SERVICE_OFFSET:]
    routed = tables.service_by_address.get(address)
    bindings = tables.placements.bindings
    bound = bindings.service_by_address.get(address)
    if routed is None or bound is None or address in bindings.freed:
        return routed
    return bound


def settled_service(tables: BalancerTables, flow: FlowKey) -> str | None:
    """Find the service whose settled buckets hold a flow, if any."""
    address = flow[SERVICE_OFFSET:]
    bindings = tables.placements.bindings
    bound = bindings.service_by_address.get(address)
    if bound is None or address in bindings.moved:
        return None
    return bound


def bound_service(tables: BalancerTables, flow: FlowKey) -> str | None:
    """Find the service that the unrecorded flows of an address are at."""
    bindings = tables.placements.bindings
    return bindings.service_by_address.get(flow[SERVICE_OFFSET:])


def plan_bindings(tables: BalancerTables, *, acknowledged: bool) -> Bindings:
    """Bind new addresses, and free those whose route has changed.

    Parameters
    ----------
    acknowledged
        Whether every member with a lease has the version in force.
    """
    in_force = tables.placements.bindings
    routed = tables.service_by_address
    bound = in_force.service_by_address
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
    is_news = bool(added) or not moved <= in_force.moved
    freed = in_force.moved if acknowledged else in_force.freed
    if not is_news and freed == in_force.freed:
        return in_force
    return Bindings({**bound, **added}, in_force.moved | moved, freed)


def update_bindings(tables: BalancerTables, acknowledged_version: int) -> None:
    """Put the next bindings in force, as coordinator."""
    in_force = tables.placements
    acknowledged = acknowledged_version >= in_force.version
    bindings = plan_bindings(tables, acknowledged=acknowledged)
    if bindings != in_force.bindings:
        tables.placements = msgspec.structs.replace(
            in_force, version=next_placement_version(tables), bindings=bindings
        )
