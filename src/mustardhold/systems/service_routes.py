"""Finds the services whose answers can be told to be late."""

from collections import defaultdict

from mustardhold.tables.configurations import Configuration, ServiceRoute


def timed_routes_by_service(
    configuration: Configuration,
) -> dict[str, list[ServiceRoute]]:
    """Return the routes of the services whose routes all have a target latency.

    Requests of a route without one are not tracked, so that a service with
    such a route has load that a balancer does not see.
    """
    routes_by_service = defaultdict[str, list[ServiceRoute]](list)
    for route in configuration.routes_by_address.values():
        for target in route.targets:
            routes_by_service[target.service].append(route)
    return {
        service: routes
        for service, routes in routes_by_service.items()
        if all(route.target_latency for route in routes)
    }
