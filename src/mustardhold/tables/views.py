"""Which balancers share a spray group."""

import msgspec


class Member(msgspec.Struct, frozen=True):
    """A balancer of the spray group.

    Attributes
    ----------
    peer_address
        IPv4 address and UDP port for messages between balancers.
    """

    instance_id: str
    data_centre: str
    peer_address: str


class View(msgspec.Struct, frozen=True):
    """The members that own buckets.

    Attributes
    ----------
    epoch
        Rises with every change of the members.
    """

    epoch: int
    members_by_id: dict[str, Member]
