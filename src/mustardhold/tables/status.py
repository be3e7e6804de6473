"""What programs say of themselves, as served over HTTP."""

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
    """

    instance_id: str
    data_centre: str
    table_version: int
    view_epoch: int
    members: tuple[str, ...]
    flows: int
    backends: tuple[BackendServer, ...]
    counters: dict[str, int]


class BalancerSeen(msgspec.Struct, frozen=True):
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
    balancers: dict[str, BalancerSeen] = {}
    counters: dict[str, int] = {}


class EditExplanation(msgspec.Struct, frozen=True):
    """What became of an edit, as one replica knows it.

    Attributes
    ----------
    record
        None where the edit id is not known, or no longer.
    in_force, not_in_force
        Balancers that poll this replica, with and without the edit.
    """

    edit_id: str
    replica_id: str
    record: EditRecord | None
    in_force: tuple[str, ...] = ()
    not_in_force: tuple[str, ...] = ()
