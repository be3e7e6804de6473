"""Holds messages about requests until their view or first lease arrives."""

from collections.abc import Iterator

from mustardhold.systems.ownership import raise_fence
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import EARLY_HOLD, MAX_EARLY_MESSAGES
from mustardhold.tables.request_messages import ChainDropped, EarlyMessage

HOLD_SECONDS = EARLY_HOLD.total_seconds()


def hold_message(
    tables: BalancerTables, now: float, message: EarlyMessage
) -> None:
    """Hold a message, and request its view immediately if that is newer."""
    raise_fence(tables, message.epoch)
    early = tables.requests.early_messages
    if len(early) >= MAX_EARLY_MESSAGES:
        count_stale(tables, message)
        return
    early.append((now + HOLD_SECONDS, message))


def release_messages(
    tables: BalancerTables, now: float
) -> Iterator[EarlyMessage]:
    """Remove all held messages, and yield those that have not expired."""
    early = tuple(tables.requests.early_messages)
    tables.requests.early_messages.clear()
    for deadline, message in early:
        if now < deadline:
            yield message
        else:
            count_stale(tables, message)


def count_stale(tables: BalancerTables, message: EarlyMessage) -> None:
    """Count a message that is dropped."""
    chain = message.chain if isinstance(message, ChainDropped) else message
    tables.counters[chain.service, 'request-chain-stale'] += 1
