"""Checked settings of the programs."""

from datetime import timedelta

import msgspec

from mustardhold.tables.constants import STOP_BOUND, WITHDRAWAL
from mustardhold.tables.field_types import Address, Name
from mustardhold.tables.views import Member


class BalancerOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one balancer.

    Attributes
    ----------
    data_address
        Where the fabric and backend servers send packets, as ``"ip:port"``.
    peer_address
        Where the other balancers send messages, as ``"ip:port"``.
    http_address
        Where announcements, status and metrics are served.
    control_addresses
        HTTP addresses of the control replicas.
    group
        Balancers over which one fabric sprays, this one included.
    folder
        Where the last table is kept; none on an instance without a disk.
    table_peers
        HTTP addresses of balancers that give the tables while no control
        replica does.
    withdrawal
        How long the fabric may take to see that ``/ready`` fails and to
        send no further packets.
    stop_bound
        Longest time from the signal to stop until the process has ended.
    """

    instance_id: Name
    data_centre: Name
    data_address: Address
    peer_address: Address
    http_address: Address
    control_addresses: tuple[Address, ...]
    group: tuple[Member, ...]
    folder: str | None = None
    table_peers: tuple[Address, ...] = ()
    withdrawal: timedelta = WITHDRAWAL
    stop_bound: timedelta = STOP_BOUND


class Replica(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A control replica and the address of its HTTP server."""

    instance_id: Name
    data_centre: Name
    http_address: Address


class ControlOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one control replica.

    Attributes
    ----------
    folder
        Data folder; it belongs to this replica alone.
    replicas
        All control replicas, this one included; none for a single one.
    """

    instance_id: Name
    data_centre: Name
    http_address: Address
    folder: str
    replicas: tuple[Replica, ...]


class GrowthPolicy(msgspec.Struct, frozen=True):
    """How a group takes replicas in and replaces lost ones on its own.

    Attributes
    ----------
    voters
        Voters that the group aims at.
    may_form
        Whether this replica may found a group.
    """

    voters: int
    may_form: bool


class TokenBalancerOptions(msgspec.Struct, frozen=True):
    """Settings of one balancer that forwards by tokens.

    Attributes
    ----------
    data_address
        Where the fabric sends packets, as ``"ip:port"``.
    http_address
        Where the fabric asks whether the balancer is ready.
    control_addresses
        Internal addresses of some control instances.
    metrics_address
        Where metrics are served.
    report_interval
        Time between two reports of a backend server.
    """

    instance_id: Name
    data_centre: Name
    data_address: Address
    http_address: Address
    metrics_address: Address
    control_addresses: tuple[Address, ...]
    report_interval: timedelta
