"""Messages between balancers about requests."""

import msgspec

from mustardhold.tables.packets import Request


class RequestChain(msgspec.Struct, array_like=True, tag=80, frozen=True):
    """A request, forwarded along its bucket's owners before it takes effect.

    The last owner forwards the request to the backend server, or replies to the
    caller that it was not run.

    Attributes
    ----------
    refusal
        Reason why the request is not run; empty to forward it.
    is_history_complete
        Whether at least one owner so far has a complete history of earlier
        requests, which rules out that this one was forwarded before.
    owners
        Remaining owners of the chain, in order.
    starter_id
        Primary owner that started the chain.
    replaced_epoch
        Epoch of an earlier start of the chain that certainly reached no server;
        0 if there was none.
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
    """Notifies a primary owner that an owner dropped its request.

    A primary owner that is no longer one passes the message on to its
    successor, which then starts the request.

    Attributes
    ----------
    epoch
        Epoch of the sender's view, which is newer than that of the chain.
    chain
        The chain as received by the owner that dropped it, which has no record
        of the request. Its ``starter_id`` is not the receiver if the message
        was passed on.
    """

    epoch: int
    chain: RequestChain


class AnswerReport(msgspec.Struct, array_like=True, tag=81, frozen=True):
    """Reports to a primary owner which answers were forwarded to callers.

    Attributes
    ----------
    entries
        Packed entries of fixed size, see ``systems/answers.py``.
    """

    entries: bytes


class RequestHistoryQuery(msgspec.Struct, array_like=True, tag=82, frozen=True):
    """Requests the earlier requests of buckets with a new owner.

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
        Packed entries of fixed size, see ``systems/request_handover.py``.
    """

    sender_id: str
    epoch: int
    bucket: int
    page: int
    pages: int
    entries: bytes


class HedgeStarted(msgspec.Struct, array_like=True, tag=85, frozen=True):
    """Asks a member to relay the answers of a request to its owner."""

    owner_id: str
    epoch: int
    key: bytes


class HedgePromise(msgspec.Struct, array_like=True, tag=86, frozen=True):
    """Promises that the answers of a request are relayed from now on."""

    member_id: str
    epoch: int
    key: bytes


EarlyMessage = RequestChain | ChainDropped
"""A message that may be received before its view is installed."""

RequestMessage = (
    RequestChain
    | ChainDropped
    | AnswerReport
    | RequestHistoryQuery
    | RequestHistoryPage
    | HedgeStarted
    | HedgePromise
)
