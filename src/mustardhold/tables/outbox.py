"""What a system asks its daemon to send."""

from typing import NamedTuple

from mustardhold.tables.packets import Packet
from mustardhold.tables.peers import PeerMessage


class ToBackend(NamedTuple):
    """A packet for a backend server; ``address`` is ``"ip:port"``."""

    address: str
    packet: Packet


class ToCaller(NamedTuple):
    """A packet for the caller that its flow key names."""

    packet: Packet


class ToPeer(NamedTuple):
    """A message for another balancer of the spray group."""

    instance_id: str
    message: PeerMessage


Send = ToBackend | ToCaller | ToPeer
Outbox = list[Send]
