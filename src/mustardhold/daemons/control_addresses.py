"""Where the control instances are that one of them knows of."""

from mustardhold.daemons.feed_client import FeedClient
from mustardhold.daemons.replica_node import ReplicaNode
from mustardhold.systems.replica_membership import update_peers


def control_addresses(node: ReplicaNode) -> tuple[str, ...]:
    """Return the internal addresses of all control instances."""
    return tuple(member.http_address for member in node.replica.members)


def add_control_addresses(
    node: ReplicaNode, feed_client: FeedClient, addresses: tuple[str, ...]
) -> None:
    """Take over the control instances that changed settings name."""
    feed_client.known_addresses.update(addresses)
    update_peers(node.replica, addresses)
