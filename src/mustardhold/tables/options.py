"""Validated settings of the programs."""

from datetime import timedelta

import msgspec

from mustardhold.tables.constants import STOP_BOUND, STOP_GRACE, WITHDRAWAL
from mustardhold.tables.field_types import Address, Name
from mustardhold.tables.hedging import HedgingOptions
from mustardhold.tables.views import Member


class BalancerOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one balancer.

    Attributes
    ----------
    data_address
        Receives packets of the fabric and of backend servers, as ``"ip:port"``.
    peer_address
        Receives messages of the other balancers, as ``"ip:port"``.
    http_address
        HTTP server for announcements, status and metrics.
    control_addresses
        HTTP addresses of the control replicas.
    group
        Balancers that one fabric sprays packets over, including this one.
    folder
        Data directory, for the latest table; none on an instance without a
        disk.
    table_peers
        HTTP addresses of balancers that serve the tables while no control
        replica can be reached.
    withdrawal
        Time that the fabric may need to detect that ``/ready`` fails and to
        stop sending packets.
    stop_bound
        Longest time from the stop signal to the end of the process.
    hedging
        Second copies of slow requests; none to send none.
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
    hedging: HedgingOptions | None = None


class Replica(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A configured control replica."""

    instance_id: Name
    data_centre: Name
    http_address: Address


class ControlOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one control replica.

    Attributes
    ----------
    folder
        Data directory, used by this replica only.
    replicas
        All control replicas, including this one; empty for a single replica.
    """

    instance_id: Name
    data_centre: Name
    http_address: Address
    folder: str
    replicas: tuple[Replica, ...]


class GrowthPolicy(msgspec.Struct, frozen=True):
    """Policy for adding replicas and replacing lost ones automatically.

    Attributes
    ----------
    voters
        Target number of voters.
    may_form
        Whether this replica may form a new group.
    """

    voters: int
    may_form: bool


class TokenBalancerOptions(msgspec.Struct, frozen=True):
    """Settings of one balancer that forwards by tokens.

    Attributes
    ----------
    data_address
        Receives packets of the fabric, as ``"ip:port"``.
    http_address
        HTTP server for the readiness checks of the fabric.
    feed_address
        Serves the feed to other balancers.
    control_addresses
        Internal addresses of control instances; others are learned from them.
    stop_grace
        Time from the request to stop until the process would be killed.
    metrics_address
        HTTP server for metrics.
    link_bytes_per_second
        Rate of the instance's own link; 0 if unknown, then packets are sent as
        they come.
    opening_hedge_share
        Share of the flows whose first opening goes to two servers at once.
    shares_evidence
        Whether the balancer reports servers that answer badly, and avoids those
        that the whole fleet's reports make suspect.
    controls_admission
        Whether openings are refused while a service is overloaded.
    chooses_by_load
        Whether servers are chosen by the requests in progress at them, as far
        as the balancer sees them.
    """

    instance_id: Name
    data_centre: Name
    data_address: Address
    http_address: Address
    metrics_address: Address
    feed_address: Address
    control_addresses: tuple[Address, ...]
    stop_grace: timedelta = STOP_GRACE
    link_bytes_per_second: float = 0
    opening_hedge_share: float = 1
    shares_evidence: bool = True
    controls_admission: bool = True
    chooses_by_load: bool = True
