"""Configurations that replace each other whole, by version."""

from enum import StrEnum
from typing import Final, NamedTuple

import msgspec


class VersionedDocument(msgspec.Struct, frozen=True):
    """A configuration as its operator sent it.

    Attributes
    ----------
    version
        Chosen by the operator; the highest committed one is in force.
    packed
        The bytes that were sent, deflated; they can be read back unchanged.
    """

    version: int
    packed: bytes


NO_DOCUMENT: Final = VersionedDocument(0, b'')
"""Held before the first configuration."""


class RequestKind(StrEnum):
    """What may be done again with the requests of a route."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    DOWNLOAD = 'download'


class ServiceAddress(NamedTuple):
    """Where callers reach a service: IPv4 address and port as numbers."""

    ip: int
    port: int


class WeightedService(NamedTuple):
    """A share of a route's new flows."""

    service: str
    weight: float


class ServiceRoute(msgspec.Struct, frozen=True):
    """Which services the new flows to an address may go to."""

    name: str
    address: ServiceAddress
    kind: RequestKind
    targets: tuple[WeightedService, ...]


class Configuration(msgspec.Struct, frozen=True):
    """A decoded configuration, as far as anything here decides by it."""

    version: int
    routes_by_address: dict[ServiceAddress, ServiceRoute]
