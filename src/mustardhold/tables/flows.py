"""Records of flows and requests at the owners of their bucket."""

import msgspec


class FlowRecord(msgspec.Struct):
    """Where a flow lives.

    Attributes
    ----------
    is_primary
        Whether this balancer placed the flow and counts it as its own.
    """

    service: str
    backend_id: str
    is_primary: bool


class RequestRecord(msgspec.Struct):
    """A request that was forwarded.

    Attributes
    ----------
    forwarded_at
        Reading of the local monotonic clock, in seconds.
    """

    flow: bytes
    backend_id: str
    idempotent: bool
    forwarded_at: float
    answered: bool = False
