"""Holds packets that arrive before the first configuration and servers.

A whole fleet may start at once. Control instances take longer to start than
balancers, and a caller repeats a dropped packet only after its own timeout.
"""

from collections import Counter

from mustardhold.tables.constants import MAX_HELD_AT_START, START_HOLD_TIMEOUT
from mustardhold.tables.forwarding import (
    CallerPacket,
    DropCause,
    ForwardingTables,
    HeldPacket,
)


def hold_until_ready(
    tables: ForwardingTables, now: float, packet: CallerPacket, raw: bytes
) -> None:
    """Hold a packet; of a repeated opening, only the latest.

    Earlier repeats would be forwarded to other servers than the latest one.
    """
    held = tables.held_by_key
    key = packet.flow if packet.is_opening else raw
    held.pop(key, None)
    if len(held) >= MAX_HELD_AT_START:
        held.popitem(last=False)
        count_expired(tables.counters)
    held[key] = HeldPacket(now, raw)


def pop_held_packets(tables: ForwardingTables, now: float) -> list[bytes]:
    """Remove all held packets; return the unexpired ones, oldest first."""
    held = tuple(tables.held_by_key.values())
    tables.held_by_key.clear()
    earliest_arrival = now - START_HOLD_TIMEOUT.total_seconds()
    in_time = [
        entry.raw for entry in held if entry.arrived_at >= earliest_arrival
    ]
    count_expired(tables.counters, len(held) - len(in_time))
    return in_time


def count_expired(counters: Counter[tuple[str, str]], count: int = 1) -> None:
    """Count packets that were held and then dropped."""
    if count:
        counters['drop', DropCause.HELD_TOO_LONG] += count
