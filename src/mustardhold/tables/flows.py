"""Records of flows at the owners of their bucket."""

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
