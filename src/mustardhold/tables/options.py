"""Checked settings of the programs."""

import msgspec

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
    """

    instance_id: str
    data_centre: str
    data_address: str
    peer_address: str
    http_address: str
    control_addresses: tuple[str, ...]
    group: tuple[Member, ...]
    folder: str | None = None
    table_peers: tuple[str, ...] = ()


class ReplicaOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A control replica and the address of its HTTP server."""

    instance_id: str
    data_centre: str
    http_address: str


class ControlOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one control replica.

    Attributes
    ----------
    folder
        Data folder; it belongs to this replica alone.
    replicas
        All control replicas, this one included; none for a single one.
    """

    instance_id: str
    data_centre: str
    http_address: str
    folder: str
    replicas: tuple[ReplicaOptions, ...]
