"""Decoding and validation of the platform's JSON configuration."""

import ipaddress
import json
from collections import Counter
from collections.abc import Iterator
from datetime import timedelta
from typing import Annotated, Any

import msgspec

from mustardhold.adapters.documents import pack_document, unpack_document
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

Positive = Annotated[int, msgspec.Meta(gt=0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]
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
    target_latency_ms: NonNegative = 0


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

    version: Positive
    routes: tuple[WireRoute, ...]
    services: tuple[WireService, ...]
    limits: WireLimits = WireLimits()


class RawConfiguration(msgspec.Struct, frozen=True):
    """A configuration whose parts are decoded one by one to find all errors."""

    version: msgspec.Raw
    routes: tuple[msgspec.Raw, ...]
    services: tuple[msgspec.Raw, ...]
    limits: msgspec.Raw = msgspec.Raw(b'{}')


_decoder = msgspec.json.Decoder(WireConfiguration)
_raw_decoder = msgspec.json.Decoder(RawConfiguration)


def validate_document(raw: bytes) -> Outcome[VersionedDocument, Findings]:
    """Validate an operator's configuration and pack its original bytes.

    Returns
    -------
    Outcome
        The document with its version, or all findings.
    """
    decoded = decode(raw)
    if isinstance(decoded, Err):
        return Err(find_malformed_parts(raw) or decoded.error)
    duplicates = find_duplicate_keys(raw)
    findings = (*duplicates, *find_errors(decoded.value))
    if findings:
        return Err(findings)
    return Ok(pack_document(decoded.value.version, raw))


def decode(raw: bytes) -> Outcome[WireConfiguration, Findings]:
    """Decode a configuration, or return the location of the first error."""
    try:
        return Ok(_decoder.decode(raw))
    except (msgspec.DecodeError, RecursionError) as error:
        return Err((locate_error('', error),))


def locate_error(parent: str, error: Exception) -> Finding:
    """Return a decoding error as a finding, placed below a parent."""
    message, _, place = str(error).partition(' - at `$')
    return Finding((parent + place.strip('`')).lstrip('.'), message)


def find_malformed_parts(raw: bytes) -> Findings:
    """Find the errors of each part of a configuration that is malformed.

    The decoder of the whole stops at the first error, but an operator wants
    to see all of them.

    Returns
    -------
    tuple
        The findings; empty if not even the parts can be told apart.
    """
    try:
        parts = _raw_decoder.decode(raw)
    except (msgspec.DecodeError, RecursionError):
        return ()
    checks: list[tuple[str, Any, msgspec.Raw]] = [
        ('version', Positive, parts.version),
        ('limits', WireLimits, parts.limits),
    ]
    checks.extend(
        (f'services[{number}]', WireService, service)
        for number, service in enumerate(parts.services)
    )
    checks.extend(
        (f'routes[{number}]', WireRoute, route)
        for number, route in enumerate(parts.routes)
    )
    found = (find_part_error(*check) for check in checks)
    return tuple(finding for finding in found if finding is not None)


def find_part_error(
    place: str, part_type: Any, raw: msgspec.Raw
) -> Finding | None:
    """Return the first error of one part, or None if it is well-formed."""
    try:
        msgspec.json.decode(raw, type=part_type)
    except (msgspec.DecodeError, RecursionError) as error:
        return locate_error(place, error)
    return None


def find_duplicate_keys(raw: bytes) -> Findings:
    """Find duplicate keys in an object, since either value may be meant."""
    duplicates: list[Finding] = []

    def collect_duplicates(pairs: list[tuple[str, Any]]) -> None:
        counts = Counter(key for key, _ in pairs)
        duplicates.extend(
            Finding(key, 'occurs twice in one object')
            for key, count in counts.items()
            if count > 1
        )

    try:
        # Numbers stay strings: they are not used here, and parsing an
        # integer of thousands of digits would fail.
        json.loads(raw, object_pairs_hook=collect_duplicates, parse_int=str)
    except ValueError as error:
        return (Finding('body', str(error)),)
    return tuple(duplicates)


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
    for key, count in Counter(keys).items():
        if count > 1:
            yield Finding(place, f'{key_name} {key!r} occurs {count} times')


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
    if not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        return None
    try:
        return ServiceAddress(int(ipaddress.IPv4Address(route.host)), int(port))
    except ValueError:
        return None


def read_configuration(
    document: VersionedDocument,
) -> Outcome[Configuration, Findings]:
    """Decode a document that was validated before it was packed.

    It may have been damaged since, so errors are returned as findings.
    """
    unpacked = unpack_document(document)
    if isinstance(unpacked, Err):
        return Err((Finding('document', unpacked.error),))
    decoded = decode(unpacked.value)
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
                timedelta(milliseconds=route.timeout_ms),
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
    unpacked = unpack_document(document)
    decoded = unpacked if isinstance(unpacked, Err) else decode(unpacked.value)
    if isinstance(decoded, Err):
        return ()
    known = set(RequestKind)
    return tuple(
        Finding(
            f'routes[{number}].kind',
            f'{route.kind!r} is not known; taken as not idempotent',
        )
        for number, route in enumerate(decoded.value.routes)
        if route.kind not in known
    )
