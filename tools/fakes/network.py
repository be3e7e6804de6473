"""A simulated network that delays, loses, duplicates and reorders messages."""

from dataclasses import dataclass, field

from tools.fakes.event_queue import Action, EventQueue, schedule


@dataclass(slots=True)
class Network:
    """Links between nodes, with their delays, losses and partitions.

    Attributes
    ----------
    min_delay, max_delay
        Bounds of the one-way delay, in seconds.
    loss, repeats
        Fractions of messages that are lost and that are duplicated.
    partition_by_node
        Nodes in different partitions cannot reach each other; 0 by default.
    down
        Nodes that neither send nor receive.
    """

    queue: EventQueue
    min_delay: float = 0.0005
    max_delay: float = 0.002
    loss: float = 0
    repeats: float = 0
    partition_by_node: dict[str, int] = field(default_factory=dict)
    down: set[str] = field(default_factory=set)
    sent_by_node: dict[str, int] = field(default_factory=dict)


def can_reach(network: Network, sender: str, receiver: str) -> bool:
    """Return whether two nodes are up and in the same partition."""
    if sender in network.down or receiver in network.down:
        return False
    sides = network.partition_by_node
    return sides.get(sender, 0) == sides.get(receiver, 0)


def send(
    network: Network,
    sender: str,
    receiver: str,
    deliver: Action,
    *,
    repeats: bool = True,
) -> None:
    """Deliver a message after a random delay, unless it is lost.

    With ``repeats=False`` the message is delivered at most once.
    """
    rng = network.queue.rng
    sent = network.sent_by_node
    sent[sender] = sent.get(sender, 0) + 1
    if rng.random() < network.loss:
        return
    is_repeated = rng.random() < network.repeats and repeats
    copies = 2 if is_repeated else 1

    def arrive() -> None:
        if can_reach(network, sender, receiver):
            deliver()

    for _ in range(copies):
        delay = rng.uniform(network.min_delay, network.max_delay)
        schedule(network.queue, delay, arrive)
