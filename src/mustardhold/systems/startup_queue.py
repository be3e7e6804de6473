"""Keeps packets that reach a balancer before its first tables.

A whole fleet may start at once. Control instances take longer to start than
balancers, and a caller repeats a packet only after its own time-out.
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
    """Keep a packet; of the copies of an opening, only the latest.

    Older copies would go to other servers than the latest does.
    """
    held = tables.held_by_key
    key = packet.flow if packet.is_opening else raw
    held.pop(key, None)
    if len(held) >= MAX_HELD_AT_START:
        held.popitem(last=False)
        note_late(tables.counters)
    held[key] = HeldPacket(now, raw)


def pop_held_packets(tables: ForwardingTables, now: float) -> list[bytes]:
    """Give up what is kept, in the order of arrival, without what is late."""
    held = tuple(tables.held_by_key.values())
    tables.held_by_key.clear()
    oldest = now - START_HOLD_TIMEOUT.total_seconds()
    in_time = [one.raw for one in held if one.arrived_at >= oldest]
    note_late(tables.counters, len(held) - len(in_time))
    return in_time


def note_late(counters: Counter[tuple[str, str]], count: int = 1) -> None:
    """Count packets that were kept and then dropped."""
    if count:
        counters['drop', DropCause.HELD_TOO_LONG] += count
