"""Differences between two versions of the tables."""

from mustardhold.tables.routing import RoutingTable, TableChanges


def changes_since(table: RoutingTable, version: int) -> TableChanges:
    """Return the changes after a version; all entries for version 0."""
    changed = {
        key: changed_at
        for key, changed_at in table.entry_versions.items()
        if changed_at > version
    }
    routes = tuple(
        route
        for name, route in table.routes_by_name.items()
        if f'route/{name}' in changed
    )
    pools = tuple(
        pool
        for name, pool in table.pools_by_name.items()
        if f'pool/{name}' in changed
    )
    return TableChanges(version, table.version, routes, pools, changed)


def apply_changes(
    table: RoutingTable, changes: TableChanges
) -> RoutingTable | None:
    """Return the newer table, or none if the changes do not apply."""
    is_newer = changes.version > table.version
    if not is_newer or changes.since > table.version:
        return None
    deleted = set(changes.entry_versions)
    deleted.difference_update(f'route/{route.name}' for route in changes.routes)
    deleted.difference_update(f'pool/{pool.name}' for pool in changes.pools)
    routes = dict(table.routes_by_name)
    routes.update((route.name, route) for route in changes.routes)
    pools = dict(table.pools_by_name)
    pools.update((pool.name, pool) for pool in changes.pools)
    for key in deleted:
        kind, _, name = key.partition('/')
        entries = routes if kind == 'route' else pools
        entries.pop(name, None)
    versions = {**table.entry_versions, **changes.entry_versions}
    return RoutingTable(changes.version, routes, pools, versions)
