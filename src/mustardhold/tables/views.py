"""Members of a spray group of balancers, and the view that they agree on."""

import msgspec

from mustardhold.tables.field_types import Address, Name


class Member(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A balancer of the spray group.

    Attributes
    ----------
    peer_address
        IPv4 address and UDP port for messages between balancers.
    """

    instance_id: Name
    data_centre: Name
    peer_address: Address


class ViewMember(msgspec.Struct, array_like=True, frozen=True, order=True):
    """A member of a view: one incarnation of a balancer."""

    instance_id: str
    incarnation: int


class View(msgspec.Struct, frozen=True):
    """The current members, which own the buckets.

    Attributes
    ----------
    epoch
        Increases with every change of the members.
    incarnations_by_id
        Incarnation of each member of the view.
    """

    epoch: int
    members_by_id: dict[str, Member]
    incarnations_by_id: dict[str, int] = {}
