"""Status of the programs, as served over HTTP."""

from datetime import datetime

import msgspec

from mustardhold.tables.backends import BackendServer
from mustardhold.tables.consensus import Members
from mustardhold.tables.edits import EditRecord
from mustardhold.tables.routing import RoutingTable


class BalancerStatus(msgspec.Struct, frozen=True):
    """Status of one balancer.

    Attributes
    ----------
    counters
        Number of decisions by ``"service/outcome"``.
    is_ready
        Whether the fabric may send packets to it.
    lease_left
        Time for which it may act as an owner, in seconds; none if unlimited.
    """

    instance_id: str
    data_centre: str
    table_version: int
    view_epoch: int
    members: tuple[str, ...]
    flows: int
    backends: tuple[BackendServer, ...]
    counters: dict[str, int]
    is_ready: bool = True
    is_stopping: bool = False
    lease_left: float | None = None


class DecisionEntry(msgspec.Struct, frozen=True):
    """One decision of a balancer, as shown to operators.

    Attributes
    ----------
    at
        Wall-clock time, in UTC.
    flow, request_id
        Keys as hexadecimal digits.
    """

    instance_id: str
    at: datetime
    flow: str
    request_id: str
    outcome: str
    target: str
    reason: str
    table_version: int
    view_epoch: int


class FlowExplanation(msgspec.Struct, frozen=True):
    """State of a flow on one balancer.

    Attributes
    ----------
    service
        Service of the flow's address; empty if no route has the address.
    owners
        Owners of the flow's bucket; the first one is the primary owner.
    backend_id
        Server in this balancer's flow record; empty without a record.
    backend_state
        State in the latest announcement of that server.
    """

    instance_id: str
    flow: str
    service: str
    bucket: int
    owners: tuple[str, ...]
    backend_id: str
    backend_state: str
    table_version: int
    view_epoch: int


class Explanation(msgspec.Struct, frozen=True):
    """Reply of one balancer to a query for a flow or a request."""

    flow: FlowExplanation | None
    decisions: tuple[DecisionEntry, ...]


class BalancerPoll(msgspec.Struct, frozen=True):
    """Table version of a balancer at its latest poll.

    Attributes
    ----------
    seen_at
        Wall-clock time of the poll, in seconds since 1970-01-01 UTC.
    lag
        Number of versions that the balancer is behind the replica.
    behind_seconds
        Time for which it has been behind, in seconds.
    """

    version: int
    seen_at: float
    lag: int = 0
    behind_seconds: float = 0


class ControlStatus(msgspec.Struct, frozen=True):
    """Status of one control replica.

    Attributes
    ----------
    log_entries
        Number of log entries in memory.
    replica_uid
        Unique id of the data directory.
    is_refused
        Whether the group knows this instance with another data directory.
    balancers
        Balancers that poll this replica, by instance id.
    """

    instance_id: str
    data_centre: str
    table: RoutingTable
    log_entries: int
    replica_uid: str = ''
    role: str = ''
    term: int = 0
    leader_id: str | None = None
    has_quorum: bool = False
    commit_index: int = 0
    snapshot_index: int = 0
    members: Members = ()
    is_refused: bool = False
    balancers: dict[str, BalancerPoll] = {}
    counters: dict[str, int] = {}


class EditExplanation(msgspec.Struct, frozen=True):
    """Outcome of an edit, and which balancers have applied it.

    Attributes
    ----------
    in_force, not_in_force
        Balancers that poll this replica and have, or do not have, the edit in
        their table.
    """

    edit_id: str
    replica_id: str
    record: EditRecord
    in_force: tuple[str, ...] = ()
    not_in_force: tuple[str, ...] = ()
