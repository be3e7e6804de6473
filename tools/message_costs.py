"""Bytes of messages between balancers, by members and servers."""

from mustardhold.adapters.peer_codec import encode_message
from mustardhold.tables.backends import (
    BackendRow,
    BackendState,
)
from mustardhold.tables.peers import (
    BackendAnnouncement,
    BackendDigest,
    Claim,
    Grant,
    Lease,
    Renewal,
)
from mustardhold.tables.views import ViewMember
from tools.fakes.announcements import SERVICE, make_announcement


def announcement_bytes(announcements: int) -> float:
    """Count the bytes of announcements between balancers."""
    message = encode_message(BackendAnnouncement(make_announcement(7)))
    return float(announcements * len(message))


def digest_bytes(servers: int) -> float:
    """Count the bytes of one digest."""
    rows = tuple(
        BackendRow(f'{SERVICE}-{n}', 1, 1000, 1000, 50, BackendState.READY, 250)
        for n in range(servers)
    )
    held = {row.backend_id: 1000 for row in rows}
    digest = BackendDigest('balancer-1', rows, held)
    return float(len(encode_message(digest)))


def renewal_bytes(members: int) -> float:
    """Count the bytes of a renewal and its lease, for all members."""
    renewal = Renewal('', 'balancer-1', 1, 1e5, 1000, 1000, 1000)
    lease = Lease('', 1, 1e5, 1000)
    pair = len(encode_message(renewal)) + len(encode_message(lease))
    return float(members * pair)


def claim_bytes(members: int) -> float:
    """Count the bytes of a claim and its grant, for all members."""
    view = tuple(ViewMember(f'balancer-{n}', 1) for n in range(members))
    claim = Claim('', 'balancer-1', 1, 1e5, 1000, view, True, 1000)
    granted = Grant('', 'balancer-2', 1, 1e5, 1000, (), '', None)
    pair = len(encode_message(claim)) + len(encode_message(granted))
    return float(members * pair)
