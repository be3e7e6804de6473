"""Applies admission control to the openings of a balancer.

It is in effect where callers of one service differ: where its routes have
several priorities or kinds, and a target latency each, so that late answers
can be told.
"""

from collections.abc import Iterator
from typing import Any

from mustardhold.systems.answer_counts import recent_answers
from mustardhold.systems.overload_control import is_admitted
from mustardhold.systems.service_routes import timed_routes_by_service
from mustardhold.tables.configurations import (
    REPEATABLE_KINDS,
    Configuration,
    ServiceRoute,
)
from mustardhold.tables.forwarding import CallerPacket, ForwardingTables
from mustardhold.tables.gauges import Gauge
from mustardhold.tables.options import TokenBalancerOptions
from mustardhold.tables.overload import (
    Opening,
    OpeningClass,
    OverloadControl,
)


def make_overload_control(
    options: TokenBalancerOptions,
) -> OverloadControl | None:
    """Make the state of admission control; None if it is turned off."""
    return OverloadControl() if options.controls_admission else None


def is_opening_refused(
    tables: ForwardingTables,
    now: float,
    packet: CallerPacket,
    route: ServiceRoute,
    service: str,
) -> bool:
    """Return whether an opening is refused for overload, and count it."""
    control = tables.overload
    if control is None or tables.configuration is None:
        return False
    update_services(control, tables.configuration)
    if service not in control.services:
        return False
    opening_class = class_of(route)
    opening = Opening(
        packet.flow, packet.caller.ip, service, opening_class, packet.attempt
    )
    if is_admitted(
        control,
        now,
        opening,
        lambda: recent_answers(tables.answers, service, now),
    ):
        return False
    tables.counters[service, f'overloaded-{opening_class}'] += 1
    return True


def class_of(route: ServiceRoute) -> OpeningClass:
    """Return the class of a route's openings."""
    return OpeningClass(route.priority, route.kind in REPEATABLE_KINDS)


def update_services(
    control: OverloadControl, configuration: Configuration
) -> None:
    """Derive the controlled services from a new configuration."""
    if control.version == configuration.version:
        return
    control.version = configuration.version
    control.services = controlled_services(configuration)
    for service in control.loads_by_service.keys() - control.services:
        control.loads_by_service.pop(service)


def controlled_services(configuration: Configuration) -> frozenset[str]:
    """Return the services whose routes differ and have target latencies."""
    return frozenset(
        service
        for service, routes in timed_routes_by_service(configuration).items()
        if len({(route.priority, route.kind) for route in routes}) > 1
    )


def make_admission_gauges(tables: ForwardingTables) -> Iterator[Gauge]:
    """Yield the admission level of each service that was asked for."""
    if tables.overload is None:
        return
    for service, load in sorted(tables.overload.loads_by_service.items()):
        yield Gauge(
            'admission_level',
            'Share of the openings that is admitted',
            load.level,
            {'service': service},
        )


def describe_refusal(
    tables: ForwardingTables, packet: CallerPacket
) -> dict[str, Any]:
    """Return the service, class and level by which an opening was refused."""
    if tables.overload is None or tables.configuration is None:
        return {}
    route = tables.configuration.routes_by_address.get(packet.service_address)
    if route is None:
        return {}
    levels = {
        target.service: round(load.level, 3)
        for target in route.targets
        if (load := tables.overload.loads_by_service.get(target.service))
    }
    return {'class': str(class_of(route)), 'levels': levels}
