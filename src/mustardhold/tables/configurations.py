"""Versioned configurations; each one replaces the previous one as a whole."""

from datetime import timedelta
from enum import StrEnum
from typing import Final, NamedTuple

import msgspec


class VersionedDocument(msgspec.Struct, frozen=True):
    """A configuration as sent by the operator.

    Attributes
    ----------
    version
        Chosen by the operator; the highest committed version is the current
        one.
    packed
        The received bytes, compressed with deflate; they are returned unchanged
        when the configuration is read back.
    """

    version: int
    packed: bytes


NO_DOCUMENT: Final = VersionedDocument(0, b'')
"""Placeholder before the first configuration."""


class RequestKind(StrEnum):
    """Kind of a route's requests: which of them may be repeated."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    DOWNLOAD = 'download'
    UPLOAD = 'upload'


REPEATABLE_KINDS: Final = frozenset((RequestKind.SAFE, RequestKind.DOWNLOAD))
"""Kinds of requests that are idempotent; all others may run once at most."""


class ServiceAddress(NamedTuple):
    """IPv4 address and port of a service, as integers."""

    ip: int
    port: int


class WeightedService(NamedTuple):
    """A service and its weight among the targets of a route."""

    service: str
    weight: float


class ServiceRoute(msgspec.Struct, frozen=True):
    """Maps an address to the services that receive its new flows.

    Attributes
    ----------
    priority
        Importance of its requests; 0 is the highest.
    target_latency
        Time in which callers expect an answer; zero if it is not configured.
    timeout
        Time after which callers give up; zero if unknown.
    """

    name: str
    address: ServiceAddress
    kind: RequestKind
    targets: tuple[WeightedService, ...]
    priority: int = 0
    target_latency: timedelta = timedelta()
    timeout: timedelta = timedelta()


class ServiceLimits(msgspec.Struct, frozen=True):
    """Limits on what the servers of a service may be sent.

    Attributes
    ----------
    cold_openings_per_second
        Openings a second that a server bears in its slow start, from all
        balancers together; 0 means no limit.
    """

    name: str
    cold_openings_per_second: float = 0


class Configuration(msgspec.Struct, frozen=True):
    """The decoded parts of a configuration that decisions depend on."""

    version: int
    routes_by_address: dict[ServiceAddress, ServiceRoute]
    limits_by_service: dict[str, ServiceLimits] = msgspec.field(
        default_factory=dict
    )
