"""Where the control instances are that one of them knows of."""

from mustardhold.daemons.feed_watch import FeedWatch
from mustardhold.daemons.replica_node import ReplicaNode
from mustardhold.systems.replica_membership import name_peers


def control_addresses(node: ReplicaNode) -> tuple[str, ...]:
    """Return the internal addresses of all control instances."""
    return tuple(member.http_address for member in node.replica.members)


def take_addresses(
    node: ReplicaNode, watch: FeedWatch, addresses: tuple[str, ...]
) -> None:
    """Take over the control instances that changed settings name."""
    watch.contacts.update(addresses)
    name_peers(node.replica, addresses)
