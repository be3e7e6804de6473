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


class View(msgspec.Struct, frozen=True):
    """The members that own buckets.

    Attributes
    ----------
    epoch
        Rises with every change of the members.
    """

    epoch: int
    members_by_id: dict[str, Member]
