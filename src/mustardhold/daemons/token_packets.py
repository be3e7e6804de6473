"""Handles the packets of a balancer that forwards by tokens."""

import logging
import socket
from collections.abc import Callable
from dataclasses import dataclass, field

from mustardhold.adapters.clock import Clock
from mustardhold.daemons.decision_logs import (
    log_avoided_servers,
    log_decision,
    log_level_changes,
)
from mustardhold.daemons.error_reporting import ErrorReporter, report_error
from mustardhold.daemons.feed_publisher import FeedPublisher
from mustardhold.daemons.feed_state import FeedClient
from mustardhold.daemons.link_sending import LinkSender, submit
from mustardhold.systems.histograms import (
    OPEN_SECONDS,
    HistogramsByKey,
    observe,
)
from mustardhold.systems.link_queue import (
    make_key,
    make_reset_key,
    may_bypass,
)
from mustardhold.systems.startup_queue import hold_until_ready
from mustardhold.systems.token_forwarding import decide_packet
from mustardhold.tables.configurations import (
    NO_DOCUMENT,
    Configuration,
    VersionedDocument,
)
from mustardhold.tables.directory import KnownServer
from mustardhold.tables.forwarding import (
    CallerPacket,
    Decision,
    Drop,
    DropCause,
    Forward,
    ForwardingTables,
    Hold,
    Reset,
)
from mustardhold.tables.link_queue import Datagram, PacketKey
from mustardhold.tables.options import TokenBalancerOptions
from mustardhold.tables.outcomes import Outcome
from mustardhold.tables.routing import Finding


@dataclass(frozen=True, slots=True)
class PacketCodec:
    """Reads and writes packets of callers and backend servers.

    Attributes
    ----------
    read
        Parses the header of a caller's packet; returns ``None`` if the packet
        is malformed.
    forward
        Encapsulates a packet for a server.
    reset
        Makes the packet that ends a caller's flow.
    """

    read: Callable[[bytes], CallerPacket | None]
    forward: Callable[[bytes, KnownServer], Datagram]
    reset: Callable[[CallerPacket], Datagram]


MakeKey = Callable[[CallerPacket, Datagram], PacketKey]
ConfigurationResult = Outcome[Configuration, tuple[Finding, ...]]


@dataclass(frozen=True, slots=True)
class Codecs:
    """Formats of the outside world: packets and configurations."""

    packets: PacketCodec
    configuration: Callable[[VersionedDocument], ConfigurationResult]


@dataclass(slots=True)
class TokenBalancer:
    """State, socket and settings of a running balancer.

    Attributes
    ----------
    feed
        Publishes the tables to balancers that follow this one.
    document
        The configuration in force, as control instances sent it.
    link
        Queue for the instance's own link; None if its rate is unknown.
    """

    options: TokenBalancerOptions
    tables: ForwardingTables
    codecs: Codecs
    clock: Clock
    log: logging.Logger
    sock: socket.socket
    feed_client: FeedClient
    feed: FeedPublisher
    error_reporter: ErrorReporter
    document: VersionedDocument = NO_DOCUMENT
    histograms_by_key: HistogramsByKey = field(default_factory=dict)
    link: LinkSender | None = None


def handle_datagram(balancer: TokenBalancer, raw: bytes) -> None:
    """Parse a caller's packet, decide on it, and send and log the result."""
    packet = balancer.codecs.packets.read(raw)
    if packet is None:
        balancer.tables.counters['', DropCause.MALFORMED] += 1
        return
    now = balancer.clock.monotonic()
    balancer.tables.last_packet_at = now
    decision = decide_packet(balancer.tables, now, packet)
    execute_decision(balancer, now, raw, packet, decision)
    log_decision(balancer.log, balancer.tables, now, packet, decision)
    if balancer.tables.newly_avoided:
        log_avoided_servers(balancer.log, balancer.tables)
    if balancer.tables.opened_flows:
        observe_opened(balancer)
    log_level_changes(balancer.log, balancer.tables)


def observe_opened(balancer: TokenBalancer) -> None:
    """Add the opening times of newly opened flows to the histograms."""
    for opened in balancer.tables.opened_flows:
        key = (OPEN_SECONDS, opened.service, opened.kind)
        observe(balancer.histograms_by_key, key, opened.seconds)
    balancer.tables.opened_flows.clear()


def execute_decision(
    balancer: TokenBalancer,
    now: float,
    raw: bytes,
    packet: CallerPacket,
    decision: Decision,
) -> None:
    """Send or hold a packet as decided, and count the decision."""
    counters = balancer.tables.counters
    match decision:
        case Forward():
            forward = balancer.codecs.packets.forward
            for known in decision.servers:
                transmit(balancer, now, packet, forward(raw, known), make_key)
            outcome = 'opened' if packet.is_opening else 'forwarded'
            counters[decision.service, outcome] += 1
        case Reset(cause):
            reset = balancer.codecs.packets.reset(packet)
            transmit(balancer, now, packet, reset, make_reset_key)
            counters['reset', cause] += 1
        case Drop(cause):
            counters['drop', cause] += 1
        case Hold():
            hold_until_ready(balancer.tables, now, packet, raw)


def transmit(
    balancer: TokenBalancer,
    now: float,
    packet: CallerPacket,
    datagram: Datagram,
    make_datagram_key: MakeKey,
) -> None:
    """Send a datagram, or queue it while the link is busy."""
    link = balancer.link
    if link is None or may_bypass(link.queue, now, datagram.link_bytes):
        send(balancer, datagram)
    else:
        key = make_datagram_key(packet, datagram)
        submit(link, now, datagram, key, packet.acknowledged)


def send(balancer: TokenBalancer, datagram: Datagram) -> None:
    """Send a datagram; count and drop it if it cannot be sent immediately."""
    try:
        balancer.sock.sendto(*datagram)
    except (OSError, OverflowError, ValueError) as error:
        # A socket raises the last two for an address that cannot exist.
        report_error(balancer.error_reporter, 'send-failed', error)
