"""Messages between balancers about requests."""

import msgspec

from mustardhold.tables.packets import Request


class RequestChain(msgspec.Struct, array_like=True, tag=80, frozen=True):
    """A request, passed along its owners before it takes effect.

    The last owner forwards the request to the backend server, or tells the
    caller that it was not run.

    Attributes
    ----------
    refusal
        Why the request is not run; empty to forward it.
    is_history_complete
        Whether an owner so far knows every earlier request of the bucket.
    owners
        Owners that have not stored the request yet, in order.
    starter_id
        Primary owner that started it.
    replaced_epoch
        Epoch of its earlier start, which certainly reached no server; else 0.
    """

    epoch: int
    packet: Request
    service: str
    backend_id: str
    refusal: str
    is_history_complete: bool
    owners: tuple[str, ...]
    starter_id: str = ''
    replaced_epoch: int = 0


class ChainDropped(msgspec.Struct, array_like=True, tag=84, frozen=True):
    """Tells a primary owner that its request was dropped on its way.

    Attributes
    ----------
    epoch
        Of the newer view, for which the sender dropped it.
    chain
        As it reached the sender, which has no record of it.
    """

    epoch: int
    chain: RequestChain


class AnswerReport(msgspec.Struct, array_like=True, tag=81, frozen=True):
    """Tells a primary owner which answers have reached their callers.

    Attributes
    ----------
    entries
        Entries of a fixed size, see ``systems/answers.py``.
    """

    entries: bytes


class RequestHistoryQuery(msgspec.Struct, array_like=True, tag=82, frozen=True):
    """Asks for the ids of earlier requests of buckets that are owned anew.

    Attributes
    ----------
    buckets
        Pairs of a bucket and the epoch since which the sender owns it.
    """

    sender_id: str
    epoch: int
    buckets: tuple[tuple[int, int], ...]


class RequestHistoryPage(msgspec.Struct, array_like=True, tag=83, frozen=True):
    """One page of the earlier requests of a bucket.

    Attributes
    ----------
    entries
        Entries of a fixed size, see ``systems/request_handover.py``.
    """

    sender_id: str
    epoch: int
    bucket: int
    page: int
    pages: int
    entries: bytes


EarlyMessage = RequestChain | ChainDropped
"""A message that may come before its view is in force."""

RequestMessage = (
    RequestChain
    | ChainDropped
    | AnswerReport
    | RequestHistoryQuery
    | RequestHistoryPage
)
