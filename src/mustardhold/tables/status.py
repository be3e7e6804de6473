"""What programs say of themselves, as served over HTTP."""

import msgspec

from mustardhold.tables.backends import BackendServer
from mustardhold.tables.routing import RoutingTable


class BalancerStatus(msgspec.Struct, frozen=True):
    """State of one balancer.

    Attributes
    ----------
    counters
        Decisions by ``"service/outcome"``.
    """

    instance_id: str
    data_centre: str
    table_version: int
    view_epoch: int
    members: tuple[str, ...]
    flows: int
    backends: tuple[BackendServer, ...]
    counters: dict[str, int]


class ControlStatus(msgspec.Struct, frozen=True):
    """State of one control replica."""

    instance_id: str
    data_centre: str
    table: RoutingTable
    log_entries: int
