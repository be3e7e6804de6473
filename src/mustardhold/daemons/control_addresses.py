"""Addresses of the control instances that this one knows."""

from mustardhold.daemons.feed_state import FeedClient
from mustardhold.daemons.replica_node import ReplicaNode
from mustardhold.systems.replica_membership import update_peers


def control_addresses(node: ReplicaNode) -> tuple[str, ...]:
    """Return the internal addresses of all control instances of the group."""
    return tuple(member.http_address for member in node.replica.members)


def add_control_addresses(
    node: ReplicaNode, feed_client: FeedClient, addresses: tuple[str, ...]
) -> None:
    """Apply changed addresses of control instances from the settings.

    The feed client adds them to those that it may poll, and the replica
    updates its peers.
    """
    feed_client.known_addresses.update(addresses)
    update_peers(node.replica, addresses)
