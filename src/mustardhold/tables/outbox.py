"""Outgoing packets and messages, collected for the daemon to send."""

import msgspec

from mustardhold.tables.packets import Packet
from mustardhold.tables.peers import PeerMessage


class ToBackend(msgspec.Struct, frozen=True, gc=False):
    """A packet for a backend server; ``address`` is ``"ip:port"``."""

    address: str
    packet: Packet


class ToCaller(msgspec.Struct, frozen=True, gc=False):
    """A packet for the caller in its flow key."""

    packet: Packet


class ToPeer(msgspec.Struct, frozen=True, gc=False):
    """A message for another balancer of the spray group."""

    instance_id: str
    message: PeerMessage


Send = ToBackend | ToCaller | ToPeer
Outbox = list[Send]
