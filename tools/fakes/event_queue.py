"""A discrete-event queue on virtual time, with a seeded random generator."""

import heapq
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

Action = Callable[[], object]


@dataclass(slots=True)
class EventQueue:
    """Pending events ordered by the virtual time they are due, in seconds."""

    rng: random.Random
    now: float = 0
    pending: list[tuple[float, int, Action]] = field(default_factory=list)
    sequence_numbers: Iterator[int] = field(default_factory=itertools.count)


def make_queue(seed: int) -> EventQueue:
    """Make an empty queue with a random generator of the given seed."""
    return EventQueue(random.Random(seed))


def schedule(queue: EventQueue, delay: float, action: Action) -> None:
    """Run an action after a delay in seconds; ties run in insertion order."""
    event = (queue.now + delay, next(queue.sequence_numbers), action)
    heapq.heappush(queue.pending, event)


def schedule_every(queue: EventQueue, period: float, action: Action) -> None:
    """Run an action periodically, without end; the period is in seconds."""

    def repeat() -> None:
        action()
        schedule(queue, period, repeat)

    schedule(queue, period, repeat)


def run_until(queue: EventQueue, end: float) -> None:
    """Run all events due up to a virtual time, then set the clock to it."""
    while queue.pending and queue.pending[0][0] <= end:
        due, _, action = heapq.heappop(queue.pending)
        queue.now = due
        action()
    queue.now = end
