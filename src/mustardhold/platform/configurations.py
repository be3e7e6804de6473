"""Decoding and validation of the platform's JSON configuration."""

import ipaddress
from collections import defaultdict
from collections.abc import Iterator
from datetime import timedelta
from typing import Annotated, Any

import msgspec

from mustardhold.adapters.documents import pack_document, unpack_document
from mustardhold.platform.json_errors import (
    DECODE_ERRORS,
    find_duplicate_keys,
    find_type_errors,
    is_nested_too_deeply,
    locate_error,
)
from mustardhold.tables.configurations import (
    Configuration,
    RequestKind,
    ServiceAddress,
    ServiceLimits,
    ServiceRoute,
    VersionedDocument,
    WeightedService,
)
from mustardhold.tables.outcomes import Err, Ok, Outcome
from mustardhold.tables.routing import Finding

# Control and balancers exchange versions as integers of 64 bits.
MAX_VERSION = 2**63 - 1
# Some 30 years; a ``timedelta`` overflows at 80,000 times that.
MAX_DURATION_MS = 1_000_000_000_000
READ_PATH = '/api/configuration/get'

Positive = Annotated[int, msgspec.Meta(gt=0)]
Version = Annotated[int, msgspec.Meta(gt=0, le=MAX_VERSION)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]
Latency = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
Priority = Annotated[int, msgspec.Meta(ge=0)]
DEFAULT_IDLE_MS = 15_000
MAX_PORT = 65_535
Findings = tuple[Finding, ...]


class WireTarget(msgspec.Struct, frozen=True):
    """A service and its weight in a route."""

    service: str
    weight: NonNegative


class WireRoute(msgspec.Struct, frozen=True):
    """A route from a service address to one or more services.

    Attributes
    ----------
    host
        IPv4 address that callers connect to; not that of a backend server.
    path_prefix
        Port that callers connect to, between slashes.
    kind
        Kind of the requests. One that is not known here is accepted, since a
        refusal would leave every caller without service.
    service, split
        Destination of new flows: one service, or several by weight.
    priority
        Importance of the requests; 0 is the highest.
    """

    name: str
    host: str
    path_prefix: str
    kind: Annotated[str, msgspec.Meta(min_length=1)]
    timeout_ms: Positive
    service: str = ''
    split: tuple[WireTarget, ...] = ()
    priority: Priority = 0
    target_latency_ms: Latency = 0


class WireService(msgspec.Struct, frozen=True):
    """A service; fields that are not listed below are only validated.

    Attributes
    ----------
    cold_per_s
        Requests a second that a server bears in its slow start; 0 means no
        limit.
    """

    name: str
    health_path: str
    max_flows: Positive = 1
    cold_per_s: NonNegative = 0


class WireLimits(msgspec.Struct, frozen=True):
    """Limits that are validated but not used; other limits are ignored."""

    idle_timeout_ms: Positive = DEFAULT_IDLE_MS


class WireConfiguration(msgspec.Struct, frozen=True):
    """A complete configuration in the JSON form of the platform."""

    version: Version
    routes: tuple[WireRoute, ...]
    services: tuple[WireService, ...]
    limits: WireLimits = WireLimits()


_decoder = msgspec.json.Decoder(WireConfiguration)


def validate_document(raw: bytes) -> Outcome[VersionedDocument, Findings]:
    """Validate an operator's configuration and pack its original bytes.

    Returns
    -------
    Outcome
        The document with its version, or all findings.
    """
    decoded = decode(raw)
    if isinstance(decoded, Err):
        all_errors = tuple(find_type_errors('', WireConfiguration, raw))
        return Err(all_errors or decoded.error)
    if is_nested_too_deeply(raw):
        return Err((Finding('body', 'is nested too deeply'),))
    duplicates = find_duplicate_keys(raw)
    findings = (*duplicates, *find_errors(decoded.value))
    if findings:
        return Err(findings)
    return Ok(pack_document(decoded.value.version, raw))


def decode(raw: bytes) -> Outcome[WireConfiguration, Findings]:
    """Decode a configuration, or return the location of the first error."""
    try:
        return Ok(_decoder.decode(raw))
    except DECODE_ERRORS as error:
        return Err((locate_error('', error),))


def find_errors(wire: WireConfiguration) -> Iterator[Finding]:
    """Find errors that concern several fields, such as unknown services."""
    services = {service.name for service in wire.services}
    yield from find_duplicates(
        (service.name for service in wire.services), 'services', 'name'
    )
    yield from find_duplicates(
        (route.name for route in wire.routes), 'routes', 'name'
    )
    yield from find_duplicates(
        ((route.host, route.path_prefix) for route in wire.routes),
        'routes',
        'host and path_prefix',
    )
    for number, route in enumerate(wire.routes):
        yield from find_route_errors(route, f'routes[{number}]', services)


def find_duplicates(
    keys: Iterator[Any], place: str, key_name: str
) -> Iterator[Finding]:
    """Yield a finding for each key that occurs more than once."""
    numbers_by_key = defaultdict[Any, list[int]](list)
    for number, key in enumerate(keys):
        numbers_by_key[key].append(number)
    for repeated, numbers in numbers_by_key.items():
        if len(numbers) > 1:
            yield Finding(
                place,
                f'{key_name} {repeated!r} occurs {len(numbers)} times, '
                f'first in [{numbers[0]}] and [{numbers[1]}]',
            )


def find_route_errors(
    route: WireRoute, place: str, services: set[str]
) -> Iterator[Finding]:
    """Find errors in the address and the services of a route."""
    if read_address(route) is None:
        yield Finding(place, 'host and path_prefix are not an address and port')
    if bool(route.service) == bool(route.split):
        yield Finding(place, 'must name either a service or a split')
    elif not targets_of(route):
        yield Finding(f'{place}.split', 'has a total weight of 0')
    if route.service and route.service not in services:
        yield Finding(place, f'service {route.service!r} is not defined')
    for number, target in enumerate(route.split):
        if target.service not in services:
            message = f'service {target.service!r} is not defined'
            yield Finding(f'{place}.split[{number}]', message)


def targets_of(route: WireRoute) -> tuple[WeightedService, ...]:
    """Return the services of a route with their weights.

    A target of weight 0 is valid, but gets no flows.
    """
    if route.service:
        return (WeightedService(route.service, 1),)
    return tuple(
        WeightedService(target.service, target.weight)
        for target in route.split
        if target.weight
    )


def read_address(route: WireRoute) -> ServiceAddress | None:
    """Parse a route's address and port; return None if malformed."""
    port = route.path_prefix.strip('/')
    if not port.isascii() or not port.isdigit():
        return None
    try:
        # A port of thousands of digits is a ``ValueError`` as well.
        address = ServiceAddress(
            int(ipaddress.IPv4Address(route.host)), int(port)
        )
    except ValueError:
        return None
    return address if address.port <= MAX_PORT else None


def decode_document(
    document: VersionedDocument,
) -> Outcome[WireConfiguration, Findings]:
    """Decode a document that was validated before it was packed.

    It may have been damaged since, so errors are returned as findings.
    """
    unpacked = unpack_document(document)
    if isinstance(unpacked, Err):
        return Err((Finding('document', unpacked.error),))
    return decode(unpacked.value)


def read_configuration(
    document: VersionedDocument,
) -> Outcome[Configuration, Findings]:
    """Decode the parts of a document that decisions depend on."""
    decoded = decode_document(document)
    if isinstance(decoded, Err):
        return decoded
    wire = decoded.value
    routes: dict[ServiceAddress, ServiceRoute] = {}
    for route in wire.routes:
        address = read_address(route)
        if address is not None:
            routes[address] = ServiceRoute(
                route.name,
                address,
                read_kind(route),
                targets_of(route),
                route.priority,
                timedelta(milliseconds=route.target_latency_ms),
                # A longer timeout is valid and means the same.
                timedelta(milliseconds=min(route.timeout_ms, MAX_DURATION_MS)),
            )
    limits = {
        service.name: ServiceLimits(service.name, service.cold_per_s)
        for service in wire.services
    }
    return Ok(Configuration(document.version, routes, limits))


def read_kind(route: WireRoute) -> RequestKind:
    """Return the kind of a route's requests.

    Requests of a kind that is not known may not be idempotent.
    """
    try:
        return RequestKind(route.kind)
    except ValueError:
        return RequestKind.UNSAFE


def find_unknown_kinds(document: VersionedDocument) -> Findings:
    """Find the routes of a valid document whose kind is not known."""
    decoded = decode_document(document)
    if isinstance(decoded, Err):
        return ()
    return tuple(find_kind_warnings(decoded.value))


def find_kind_warnings(wire: WireConfiguration) -> Iterator[Finding]:
    """Yield a finding for each route whose kind is not known."""
    known = set(RequestKind)
    for number, route in enumerate(wire.routes):
        if route.kind not in known:
            yield Finding(
                f'routes[{number}].kind',
                f'{route.kind!r} is not known; taken as not idempotent',
            )
