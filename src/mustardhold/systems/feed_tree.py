"""Decides which process a watcher of the feed follows, and when it retries.

Each process answers a bounded number of watchers, so that its work does not
grow with the fleet. It sends further ones on to balancers that follow it, and
these do the same: the feed becomes a tree below the control instances. A
watcher that loses its source asks a control instance again, so no process has
to know the tree.
"""

from itertools import islice

import xxhash

from mustardhold.tables.constants import (
    CONTROL_COALESCING,
    FEED_COALESCING,
    FEED_MAX_RETRY,
    FEED_REPLY_COST,
    FEED_RETRY_SHARE,
    FEED_STALE_AFTER,
    MAX_FEED_COALESCING,
    SUGGESTED_RELAYS,
    WATCHER_LIFETIME,
)
from mustardhold.tables.feed import FeedRequest, Watcher

HASH_RANGE = 2**64


def admit_watcher(
    watchers_by_name: dict[str, Watcher],
    now: float,
    query: FeedRequest,
    limit: int,
) -> tuple[str, ...]:
    """Admit a watcher, or name the relays that it should follow instead.

    Without any up-to-date relay it is admitted beyond the limit, as when a
    whole fleet starts, and sent on by a later poll. Other control instances
    are always admitted and not counted.

    Returns
    -------
    tuple
        Addresses of admitted watchers that serve the feed; empty if the
        watcher was admitted.
    """
    forget_watchers(watchers_by_name, now)
    lasting = lasting_watchers(watchers_by_name, limit)
    has_room = len(lasting) < limit or query.watcher in lasting
    if not query.is_control and not has_room:
        relays = suggest_relays(lasting, query)
        if relays:
            watchers_by_name.pop(query.watcher, None)
            return relays
    watcher = watchers_by_name.setdefault(query.watcher, Watcher())
    watcher.is_control = query.is_control
    watcher.address = query.address
    watcher.data_centre = query.data_centre
    watcher.is_up_to_date = is_up_to_date(query)
    watcher.polled_at = now
    watcher.balancers = query.balancers
    return ()


def forget_watchers(watchers_by_name: dict[str, Watcher], now: float) -> None:
    """Remove the watchers that no longer poll."""
    lifetime = WATCHER_LIFETIME.total_seconds()
    for name, watcher in tuple(watchers_by_name.items()):
        if now - watcher.polled_at > lifetime:
            watchers_by_name.pop(name)


def lasting_watchers(
    watchers_by_name: dict[str, Watcher], limit: int
) -> dict[str, Watcher]:
    """Return the balancers that may stay: those that were admitted first."""
    balancers = (
        (name, watcher)
        for name, watcher in watchers_by_name.items()
        if not watcher.is_control
    )
    return dict(islice(balancers, limit))


def is_up_to_date(query: FeedRequest) -> bool:
    """Return whether a watcher's own state is recent enough to pass on."""
    limit_ms = FEED_STALE_AFTER.total_seconds() * 1000
    return query.confirmed_ms is not None and query.confirmed_ms < limit_ms


def suggest_relays(
    watchers_by_name: dict[str, Watcher], query: FeedRequest
) -> tuple[str, ...]:
    """Choose relays for a watcher, those in its own data centre first.

    A rendezvous hash spreads the watchers over the relays. Those that failed
    the watcher are left out: one may poll its own sources, and yet not serve.
    """
    candidates = [
        watcher
        for name, watcher in watchers_by_name.items()
        if watcher.address
        and watcher.is_up_to_date
        and name != query.watcher
        and watcher.address not in query.failed_relays
    ]
    candidates.sort(
        key=lambda relay: (
            relay.data_centre != query.data_centre,
            rendezvous_rank(query.watcher, relay.address),
        )
    )
    return tuple(relay.address for relay in candidates[:SUGGESTED_RELAYS])


def coalescing_pause(query: FeedRequest, watchers: int) -> float:
    """Return how long changes are collected before a watcher gets them.

    For balancers it grows with the number of watchers, so that the replies a
    second are bounded while thousands of servers change and a whole fleet
    asks. Acknowledgements wait for the other control instances.

    Returns
    -------
    float
        Seconds.
    """
    if query.is_control:
        return CONTROL_COALESCING.total_seconds()
    pause = watchers * FEED_REPLY_COST.total_seconds()
    longest = MAX_FEED_COALESCING.total_seconds()
    return min(max(pause, FEED_COALESCING.total_seconds()), longest)


def rendezvous_rank(watcher: str, address: str) -> int:
    """Hash a watcher and an address; the lowest address is its first choice."""
    return xxhash.xxh3_64_intdigest(f'{watcher}/{address}'.encode())


def retry_pause(outage: float, first: float, seed: str) -> float:
    """Return how long to wait before an address is tried again.

    The pause grows with the outage, so that a whole fleet that waits for a
    process to start neither delays the first answer nor floods it. A jitter
    spreads the processes.

    Parameters
    ----------
    outage
        Time since the address first failed, in seconds.
    first
        Shortest pause, in seconds.
    seed
        Decides the jitter.
    """
    pause = max(outage * FEED_RETRY_SHARE, first)
    point = xxhash.xxh3_64_intdigest(seed.encode()) / HASH_RANGE
    # Between three and five quarters of the pause.
    jitter = (3 + 2 * point) / 4
    return min(pause, FEED_MAX_RETRY.total_seconds()) * jitter
