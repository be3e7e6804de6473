"""Which balancers share a spray group."""

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
    """One start of a balancer, as a view names it."""

    instance_id: str
    incarnation: int


class View(msgspec.Struct, frozen=True):
    """The members that own buckets.

    Attributes
    ----------
    epoch
        Rises with every change of the members.
    incarnations_by_id
        Start of each member that the view means.
    """

    epoch: int
    members_by_id: dict[str, Member]
    incarnations_by_id: dict[str, int] = {}
