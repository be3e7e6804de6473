"""A virtual clock with a queue of events, driven by a seed."""

import heapq
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

Action = Callable[[], object]


@dataclass(slots=True)
class EventQueue:
    """Events by the virtual time at which they are due, in seconds."""

    rng: random.Random
    now: float = 0
    pending: list[tuple[float, int, Action]] = field(default_factory=list)
    numbers: Iterator[int] = field(default_factory=itertools.count)


def make_queue(seed: int) -> EventQueue:
    """Make an empty queue whose random choices follow from a seed."""
    return EventQueue(random.Random(seed))


def schedule(queue: EventQueue, delay: float, action: Action) -> None:
    """Run an action after a delay in seconds; ties keep their order."""
    event = (queue.now + delay, next(queue.numbers), action)
    heapq.heappush(queue.pending, event)


def schedule_every(queue: EventQueue, period: float, action: Action) -> None:
    """Run an action after each period in seconds, for good."""

    def repeat() -> None:
        action()
        schedule(queue, period, repeat)

    schedule(queue, period, repeat)


def run_until(queue: EventQueue, end: float) -> None:
    """Run the events that are due up to a virtual time."""
    while queue.pending and queue.pending[0][0] <= end:
        due, _, action = heapq.heappop(queue.pending)
        queue.now = due
        action()
    queue.now = end
