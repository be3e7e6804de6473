"""What programs say of themselves, as served over HTTP."""

from datetime import datetime

import msgspec

from mustardhold.tables.backends import BackendServer
from mustardhold.tables.consensus import Members
from mustardhold.tables.edits import EditRecord
from mustardhold.tables.routing import RoutingTable


class BalancerStatus(msgspec.Struct, frozen=True):
    """State of one balancer.

    Attributes
    ----------
    counters
        Decisions by ``"service/outcome"``.
    is_ready
        Whether the fabric may hand packets to it.
    lease_left
        Seconds for which it may act as an owner; none without a limit.
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
    """One decision, as it is shown to operators.

    Attributes
    ----------
    at
        Time of day, in UTC.
    flow, request_id
        Hexadecimal digits.
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
    """What one balancer knows of a flow.

    Attributes
    ----------
    service
        Service of the flow's address; empty where no route has it.
    owners
        Owners of its bucket, the primary one first.
    backend_id
        Server in the balancer's own record; empty without a record.
    backend_state
        State of that server as it last announced itself.
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
    """What one balancer tells about a flow or a request."""

    flow: FlowExplanation | None
    decisions: tuple[DecisionEntry, ...]


class BalancerPoll(msgspec.Struct, frozen=True):
    """The table of a balancer, as its latest poll told it.

    Attributes
    ----------
    seen_at
        Time of day of the poll, in seconds since 1970 in UTC.
    lag
        Versions that the balancer is behind the table of the replica.
    behind_seconds
        For how long it has been behind.
    """

    version: int
    seen_at: float
    lag: int = 0
    behind_seconds: float = 0


class ControlStatus(msgspec.Struct, frozen=True):
    """State of one control replica.

    Attributes
    ----------
    log_entries
        Entries of the log in memory.
    replica_uid
        Identity of the data folder.
    is_refused
        Whether the group knows another folder under this instance's name.
    balancers
        Balancers that poll this replica, by instance.
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
    """What became of an edit, as one replica knows it.

    Attributes
    ----------
    in_force, not_in_force
        Balancers that poll this replica, with and without the edit.
    """

    edit_id: str
    replica_id: str
    record: EditRecord
    in_force: tuple[str, ...] = ()
    not_in_force: tuple[str, ...] = ()
