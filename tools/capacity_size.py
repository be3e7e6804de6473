"""The planned size, and the budgets of a node for control."""

from collections.abc import Mapping
from dataclasses import dataclass

SECONDS_PER_DAY = 86_400


@dataclass(frozen=True, slots=True)
class Size:
    """Quantities of a fleet that the capacity page is computed for.

    Attributes
    ----------
    group_members
        Balancers of one spray group; a fleet is many groups.
    """

    nodes: int = 11_000
    hosts: int = 58_000
    addresses: int = 37_000
    flows: int = 130_000_000
    openings_per_second: int = 920_000
    data_centres: int = 24
    edits_per_day: int = 45_000
    failures_per_day: int = 120
    restarts_per_day: int = 5500
    control_instances: int = 24
    group_members: int = 8
    owners: int = 3

    @property
    def flows_per_node(self) -> float:
        """Flows of which a node is the primary owner."""
        return self.flows / self.nodes

    @property
    def openings_per_node(self) -> float:
        """Openings per second that a node handles."""
        return self.openings_per_second / self.nodes

    @property
    def groups(self) -> float:
        """Spray groups of the fleet."""
        return self.nodes / self.group_members

    @property
    def hosts_per_group(self) -> float:
        """Backend servers that one spray group serves."""
        return self.hosts / self.groups

    @property
    def hosts_per_data_centre(self) -> float:
        """Backend servers of one data centre."""
        return self.hosts / self.data_centres

    @property
    def nodes_per_data_centre(self) -> float:
        """Balancers of one data centre."""
        return self.nodes / self.data_centres

    @property
    def edits_per_second(self) -> float:
        """Accepted edits per second, averaged over a day."""
        return self.edits_per_day / SECONDS_PER_DAY


PLANNED = Size()


@dataclass(frozen=True, slots=True)
class Budget:
    """Limit of a resource that one node may use for control."""

    limit: float
    unit: str


BUDGETS: Mapping[str, Budget] = {
    'processor': Budget(0.019, 'of a core'),
    'memory': Budget(128_000_000, 'bytes'),
    'bytes': Budget(21_000, 'bytes/s'),
}
