"""Counts the balancers of a fleet whose feed forms a tree.

A balancer follows several sources, control instances or other balancers. It
divides itself and those that follow it equally among its sources. So the sum
over all control instances is the number of balancers, whatever the tree.
"""

import math
from collections.abc import Collection, Container, Iterable

from mustardhold.tables.constants import (
    BALANCER_COUNT_PERIOD,
    MAX_POLLING_BALANCERS,
)
from mustardhold.tables.feed import FeedSource, Watcher
from mustardhold.tables.fleet_count import FleetCount

# Sums of fractions exceed a whole number by less than this.
ROUNDING = 0.01


def count_followers(watchers: Iterable[Watcher]) -> float:
    """Return the sum of the parts of the balancers that follow a process."""
    return sum(one.balancers for one in watchers if not one.is_control)


def part_for_source(followers: float, sources: int) -> float:
    """Return what a balancer tells each of its sources to count for it.

    It is bounded, as balancers that follow each other would count themselves
    again at each poll.
    """
    return min(1 + followers, MAX_POLLING_BALANCERS) / max(sources, 1)


def count_fleet(
    fleet: FleetCount,
    now: float,
    followers: float,
    controls: Iterable[FeedSource],
) -> int:
    """Return the number of balancers, from all control instances' followers.

    A balancer that changes its source, or a control instance that stops, may
    be missing for a moment. As too low a number would make the balancers
    exceed their limits, the highest one of some time applies.
    """
    count = followers + sum(source.balancers for source in controls)
    if now - fleet.began_at >= BALANCER_COUNT_PERIOD.total_seconds():
        fleet.previous = fleet.highest
        fleet.highest = 0
        fleet.began_at = now
    fleet.highest = max(fleet.highest, count)
    return math.ceil(max(fleet.highest, fleet.previous) - ROUNDING)


def hears_majority(
    controls: Collection[str], heard_addresses: Container[str]
) -> bool:
    """Return whether a control instance hears most of its group, with itself.

    One that is cut off counts only the balancers on its side. If it told them
    that number, both sides together would send up to twice the limit.

    Parameters
    ----------
    controls
        Addresses of the group, its own among them.
    """
    heard = 1 + sum(address in heard_addresses for address in controls)
    return 2 * heard > len(controls)


def newest_count(sources: Iterable[FeedSource], previous: float) -> float:
    """Return the number that the most up-to-date source knows.

    A source that has just started does not know it. Without any that does, the
    previous number remains.
    """
    known = [source for source in sources if source.balancers]
    if not known:
        return previous
    newest = max(known, key=lambda one: (one.confirmed_at, one.balancers))
    return newest.balancers
