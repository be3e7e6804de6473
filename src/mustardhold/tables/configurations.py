"""Versioned configurations; each one replaces the previous one as a whole."""

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


class ServiceAddress(NamedTuple):
    """IPv4 address and port of a service, as integers."""

    ip: int
    port: int


class WeightedService(NamedTuple):
    """A service and its weight among the targets of a route."""

    service: str
    weight: float


class ServiceRoute(msgspec.Struct, frozen=True):
    """Maps an address to the services that receive its new flows."""

    name: str
    address: ServiceAddress
    kind: RequestKind
    targets: tuple[WeightedService, ...]


class Configuration(msgspec.Struct, frozen=True):
    """The decoded parts of a configuration that decisions depend on."""

    version: int
    routes_by_address: dict[ServiceAddress, ServiceRoute]
