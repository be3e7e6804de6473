"""Sends the packets that wait for the instance's own link."""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from mustardhold.adapters.clock import Clock
from mustardhold.systems.histograms import (
    LINK_QUEUE_SECONDS,
    HistogramsByKey,
    observe,
)
from mustardhold.systems.link_queue import enqueue, take_due
from mustardhold.tables.constants import MIN_LINK_WAIT
from mustardhold.tables.link_queue import Datagram, LinkQueue, PacketKey

Send = Callable[[Datagram], None]


@dataclass(slots=True)
class LinkSender:
    """A link's queue, and what its packets are sent with.

    Attributes
    ----------
    has_packets
        Wakes the task that sends packets when they are due.
    """

    queue: LinkQueue
    send: Send
    clock: Clock
    histograms_by_key: HistogramsByKey
    has_packets: trio.Event = field(default_factory=trio.Event)


def submit(
    sender: LinkSender,
    now: float,
    datagram: Datagram,
    key: PacketKey,
    acknowledged: int,
) -> None:
    """Queue a packet, and send what is due now."""
    enqueue(sender.queue, now, datagram, key, acknowledged)
    if send_due(sender, now) is not None:
        sender.has_packets.set()


def send_due(sender: LinkSender, now: float) -> float | None:
    """Send the packets that are due; return when to check again, if at all."""
    due = take_due(sender.queue, now)
    for packet in due.packets:
        sender.send(packet.datagram)
        observe(
            sender.histograms_by_key,
            (LINK_QUEUE_SECONDS, '', packet.queue_class),
            max(now - packet.queued_at, 0),
        )
    return due.check_at


async def run_link_sender(sender: LinkSender) -> None:
    """Send queued packets when they are due."""
    while True:
        await sender.has_packets.wait()
        sender.has_packets = trio.Event()
        now = sender.clock.monotonic()
        check_at = send_due(sender, now)
        while check_at is not None:
            wait = max(check_at - now, MIN_LINK_WAIT.total_seconds())
            await trio.sleep(wait)
            now = sender.clock.monotonic()
            check_at = send_due(sender, now)
