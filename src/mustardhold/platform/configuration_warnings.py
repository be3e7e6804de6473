"""Contradictions in a valid configuration, which control accepts as it is."""

from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence

from mustardhold.platform.configurations import (
    DEFAULT_IDLE_MS,
    WireConfiguration,
    WireRoute,
    find_kind_warnings,
    read_address,
    read_kind,
    targets_of,
)
from mustardhold.tables.configurations import REPEATABLE_KINDS, ServiceAddress
from mustardhold.tables.routing import Finding

NumberedRoute = tuple[int, WireRoute]


def find_warnings(wire: WireConfiguration) -> Iterator[Finding]:
    """Find entries that never match, and limits that contradict each other."""
    yield from find_shadowed_routes(wire.routes)
    for number, route in enumerate(wire.routes):
        yield from find_unused_targets(route, f'routes[{number}]')
        yield from find_latency_warnings(route, f'routes[{number}]')
    yield from find_idle_warnings(wire)
    yield from find_unused_services(wire)
    yield from find_kind_warnings(wire)


def find_shadowed_routes(routes: Sequence[WireRoute]) -> Iterator[Finding]:
    """Find routes whose address a later route has, spelled in another way.

    ``/80/`` and ``80`` are the same port. Two routes that spell it alike are
    an error already.
    """
    spellings = Counter((route.host, route.path_prefix) for route in routes)
    last_by_address: dict[ServiceAddress, int] = {}
    numbered = tuple(enumerate(routes))
    for number, route in reversed(numbered):
        address = read_address(route)
        if address is None or spellings[route.host, route.path_prefix] > 1:
            continue
        last = last_by_address.setdefault(address, number)
        if last != number:
            yield Finding(
                f'routes[{number}]',
                f'never matches: routes[{last}] has the same address and port',
            )


def find_unused_targets(route: WireRoute, place: str) -> Iterator[Finding]:
    """Find targets of weight 0; if all have it, that is an error already."""
    if not targets_of(route):
        return
    for number, target in enumerate(route.split):
        if not target.weight:
            yield Finding(
                f'{place}.split[{number}].weight',
                f'0 gives {target.service!r} no flows',
            )


def find_latency_warnings(route: WireRoute, place: str) -> Iterator[Finding]:
    """Find a target latency that callers do not wait for."""
    latency = route.target_latency_ms
    if latency >= route.timeout_ms:
        yield Finding(
            f'{place}.target_latency_ms',
            f'{latency:g} is not below timeout_ms {route.timeout_ms}',
        )


def find_idle_warnings(wire: WireConfiguration) -> Iterator[Finding]:
    """Find an idle timeout that ends flows whose callers still wait."""
    idle_ms = wire.limits.idle_timeout_ms
    longer = [
        number
        for number, route in enumerate(wire.routes)
        if route.timeout_ms > idle_ms
    ]
    if not longer:
        return
    default = ' (the default)' if idle_ms == DEFAULT_IDLE_MS else ''
    yield Finding(
        'limits.idle_timeout_ms',
        f'{idle_ms}{default} is below timeout_ms of {describe_routes(longer)}',
    )


def describe_routes(numbers: Sequence[int]) -> str:
    """Return the location of the first route, and how many more there are."""
    more = len(numbers) - 1
    first = f'routes[{numbers[0]}]'
    return f'{first} and {more} more' if more else first


def find_unused_services(wire: WireConfiguration) -> Iterator[Finding]:
    """Find services that no route names."""
    named = {target.service for route in wire.routes for target in route.split}
    named.update(route.service for route in wire.routes)
    for number, service in enumerate(wire.services):
        if service.name not in named:
            yield Finding(
                f'services[{number}]', f'no route names {service.name!r}'
            )


def find_notes(wire: WireConfiguration) -> Iterator[Finding]:
    """Find what is valid, but may not be what the operator expects."""
    routes_by_service = defaultdict[str, list[NumberedRoute]](list)
    for number, route in enumerate(wire.routes):
        services = {target.service for target in targets_of(route)}
        for service in services:
            routes_by_service[service].append((number, route))
    for number, wire_service in enumerate(wire.services):
        routes = routes_by_service[wire_service.name]
        yield from find_latency_notes(routes, f'services[{number}]')
        yield from find_priority_notes(routes, f'services[{number}]')


def find_latency_notes(
    routes: Sequence[NumberedRoute], place: str
) -> Iterator[Finding]:
    """Find a service of which only some routes have a target latency."""
    missing = [
        number for number, route in routes if not route.target_latency_ms
    ]
    if 0 < len(missing) < len(routes):
        yield Finding(
            place,
            f'{describe_routes(missing)} without target_latency_ms: '
            'no admission control',
        )


def find_priority_notes(
    routes: Sequence[NumberedRoute], place: str
) -> Iterator[Finding]:
    """Find idempotent requests more important than others of the service.

    Under overload the others are refused first, though they may not be
    retried as freely.
    """
    ranked = sorted(routes, key=lambda one: one[1].priority)
    repeatable = [one for one in ranked if is_repeatable(one[1])]
    others = [one for one in ranked if not is_repeatable(one[1])]
    if not repeatable or not others:
        return
    (first, most), (last, least) = repeatable[0], others[-1]
    if most.priority < least.priority:
        yield Finding(
            place,
            f'routes[{first}] ({most.kind}) outranks '
            f'routes[{last}] ({least.kind})',
        )


def is_repeatable(route: WireRoute) -> bool:
    """Return whether the requests of a route are idempotent."""
    return read_kind(route) in REPEATABLE_KINDS
