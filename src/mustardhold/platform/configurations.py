"""The operator's configuration as the platform writes it."""

import ipaddress
import json
from collections import Counter
from collections.abc import Iterator
from typing import Annotated, Any

import msgspec

from mustardhold.adapters.documents import pack_document, unpack_document
from mustardhold.tables.configurations import (
    Configuration,
    RequestKind,
    ServiceAddress,
    ServiceRoute,
    VersionedDocument,
    WeightedService,
)
from mustardhold.tables.outcomes import Err, Ok, Outcome
from mustardhold.tables.routing import Finding

Positive = Annotated[int, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
DEFAULT_IDLE_MS = 15_000
MAX_PORT = 65_535
Findings = tuple[Finding, ...]


class WireTarget(msgspec.Struct, frozen=True):
    """A service with its share of a route."""

    service: str
    weight: NotNegative


class WireRoute(msgspec.Struct, frozen=True):
    """A route.

    Attributes
    ----------
    host
        IPv4 address that callers connect to; it is no backend server.
    path_prefix
        Port that callers connect to, between slashes.
    service, split
        Where new flows go: to one service, or to several by weight.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_ms: Positive
    service: str = ''
    split: tuple[WireTarget, ...] = ()


class WireService(msgspec.Struct, frozen=True):
    """A service; all but its name is checked only."""

    name: str
    health_path: str
    max_flows: Positive = 1


class WireLimits(msgspec.Struct, frozen=True):
    """Limits, which are checked only; the others are not read."""

    idle_timeout_ms: Positive = DEFAULT_IDLE_MS


class WireConfiguration(msgspec.Struct, frozen=True):
    """A whole configuration."""

    version: Positive
    routes: tuple[WireRoute, ...]
    services: tuple[WireService, ...]
    limits: WireLimits = WireLimits()


_decoder = msgspec.json.Decoder(WireConfiguration)


def read_body(raw: bytes) -> Outcome[VersionedDocument, Findings]:
    """Read an operator's body; keep its bytes as they were sent.

    Returns
    -------
    Outcome
        The document with its version, or everything that is wrong with it.
    """
    read = decode(raw)
    if isinstance(read, Err):
        return read
    doubled = find_doubled_keys(raw)
    findings = (*doubled, *find_faults(read.value))
    if findings:
        return Err(findings)
    return Ok(pack_document(read.value.version, raw))


def decode(raw: bytes) -> Outcome[WireConfiguration, Findings]:
    """Decode a body, and name the place of the first fault."""
    try:
        return Ok(_decoder.decode(raw))
    except (msgspec.DecodeError, RecursionError) as error:
        message, _, place = str(error).partition(' - at `$')
        return Err((Finding(place.strip('`.'), message),))


def find_doubled_keys(raw: bytes) -> Findings:
    """Find objects that hold one key twice: either may be meant."""
    doubled: list[Finding] = []

    def note_pairs(pairs: list[tuple[str, Any]]) -> None:
        counts = Counter(key for key, _ in pairs)
        doubled.extend(
            Finding(key, 'stands twice in one object')
            for key, count in counts.items()
            if count > 1
        )

    try:
        # Numbers stay text: nothing here reads them, however long they are.
        json.loads(raw, object_pairs_hook=note_pairs, parse_int=str)
    except ValueError as error:
        return (Finding('body', str(error)),)
    return tuple(doubled)


def find_faults(wire: WireConfiguration) -> Iterator[Finding]:
    """Find what is wrong beyond the form of single fields."""
    services = {service.name for service in wire.services}
    yield from find_repeated(
        (service.name for service in wire.services), 'services', 'name'
    )
    yield from find_repeated(
        (route.name for route in wire.routes), 'routes', 'name'
    )
    yield from find_repeated(
        ((route.host, route.path_prefix) for route in wire.routes),
        'routes',
        'host and path_prefix',
    )
    for number, route in enumerate(wire.routes):
        yield from find_route_faults(route, f'routes[{number}]', services)


def find_repeated(
    keys: Iterator[Any], place: str, what: str
) -> Iterator[Finding]:
    """Find keys that occur more than once."""
    for key, count in Counter(keys).items():
        if count > 1:
            yield Finding(place, f'{what} {key!r} occurs {count} times')


def find_route_faults(
    route: WireRoute, place: str, services: set[str]
) -> Iterator[Finding]:
    """Find what is wrong with a route."""
    if read_address(route) is None:
        yield Finding(place, 'host and path_prefix are no address with a port')
    targets = targets_of(route)
    if bool(route.service) == bool(route.split):
        yield Finding(place, 'must name either a service or a split')
    elif sum(target.weight for target in targets) <= 0:
        yield Finding(f'{place}.split', 'has no weight')
    for target in targets:
        if target.service not in services:
            message = f'service {target.service!r} is not defined'
            yield Finding(place, message)


def targets_of(route: WireRoute) -> tuple[WeightedService, ...]:
    """Return the services of a route with their weights."""
    if route.service:
        return (WeightedService(route.service, 1),)
    return tuple(
        WeightedService(target.service, target.weight) for target in route.split
    )


def read_address(route: WireRoute) -> ServiceAddress | None:
    """Read a route's address and port; they may be malformed."""
    port = route.path_prefix.strip('/')
    if not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        return None
    try:
        return ServiceAddress(int(ipaddress.IPv4Address(route.host)), int(port))
    except ValueError:
        return None


def read_configuration(
    held: VersionedDocument,
) -> Outcome[Configuration, Findings]:
    """Decode a document that was accepted before."""
    read = decode(unpack_document(held))
    if isinstance(read, Err):
        return read
    wire = read.value
    routes: dict[ServiceAddress, ServiceRoute] = {}
    for route in wire.routes:
        address = read_address(route)
        if address is not None:
            routes[address] = ServiceRoute(
                route.name, address, route.kind, targets_of(route)
            )
    return Ok(Configuration(held.version, routes))
