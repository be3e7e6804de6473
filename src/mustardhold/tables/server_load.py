"""State of the load that a balancer's own flows put on the servers.

It is bounded and may be lost: it only guides where new flows go.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Final, NamedTuple

MAX_LOADED_SERVERS: Final = 4_096
MAX_COUNTED_REQUESTS: Final = 8_192
# At this number at least half are of requests that have been answered, so that
# their removal costs little for each.
MAX_REQUEST_ENDS: Final = 2 * MAX_COUNTED_REQUESTS
# A flow may move to another balancer, which then sees the answer.
MAX_REQUEST_SECONDS: Final = 3.0


class RequestInFlight(NamedTuple):
    """A request without an answer yet, counted until a time in seconds."""

    token: int
    until: float


class OpeningKey(NamedTuple):
    """A flow, and the number of times its opening was sent before."""

    flow: bytes
    attempt: int


@dataclass(slots=True)
class ServerLoad:
    """Requests in flight and recent openings, by the server's token.

    Attributes
    ----------
    requests_by_flow
        Requests without any byte of their answer, one for each flow.
    requests_by_token, openings_by_token
        Numbers of these requests and of the recent openings; only servers that
        have any are included.
    ends
        Heap of the times until which requests are counted, each with its flow.
        Entries stay after the answer, and are removed when they are too many.
    recent_openings
        Openings that count, each with the time in seconds at which it was
        sent; oldest first.
    tokens_by_opening
        Servers at which each of them counts. A duplicate goes to these, also
        after the caller has sent later packets.
    version
        Version of the configuration that ``services`` is derived from.
    services
        Services whose servers are chosen by their load.
    """

    requests_by_flow: dict[bytes, RequestInFlight] = field(default_factory=dict)
    requests_by_token: dict[int, int] = field(default_factory=dict)
    openings_by_token: dict[int, int] = field(default_factory=dict)
    ends: list[tuple[float, bytes]] = field(default_factory=list)
    recent_openings: deque[tuple[float, OpeningKey]] = field(
        default_factory=deque
    )
    tokens_by_opening: dict[OpeningKey, tuple[int, ...]] = field(
        default_factory=dict
    )
    version: int = 0
    services: frozenset[str] = frozenset()
