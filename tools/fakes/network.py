"""A network that delays, loses, repeats and reorders, driven by a seed."""

from dataclasses import dataclass, field

from tools.fakes.event_queue import Action, EventQueue, schedule


@dataclass(slots=True)
class Network:
    """Links between named nodes.

    Attributes
    ----------
    min_delay, max_delay
        Bounds of the one-way delay, in seconds.
    loss, repeats
        Shares of messages that are lost, and that arrive twice.
    partition_by_node
        Nodes with different sides cannot reach each other.
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
    """Tell whether a message would get through now."""
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

    A link without repeats delivers each message once at most.
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
