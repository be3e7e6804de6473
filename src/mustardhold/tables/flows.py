"""Flow records, stored by the owners of a flow's bucket."""

import msgspec


class FlowRecord(msgspec.Struct):
    """Backend server that holds a flow.

    Attributes
    ----------
    is_primary
        Whether this balancer is the primary owner of the flow, which counts it
        among the flows held on the server.
    """

    service: str
    backend_id: str
    is_primary: bool
