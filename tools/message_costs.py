"""Sizes of messages between balancers, by numbers of members and servers."""

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
    """Return the size of forwarded announcements."""
    message = encode_message(BackendAnnouncement(make_announcement(7)))
    return float(announcements * len(message))


def digest_bytes(servers: int) -> float:
    """Return the size of a digest."""
    rows = tuple(
        BackendRow(f'{SERVICE}-{n}', 1, 1000, 1000, 50, BackendState.READY, 250)
        for n in range(servers)
    )
    received_at = {row.backend_id: 1000 for row in rows}
    digest = BackendDigest('balancer-1', rows, received_at)
    return float(len(encode_message(digest)))


def renewal_bytes(members: int) -> float:
    """Return the size of the renewals and leases of all members."""
    renewal = Renewal('', 'balancer-1', 1, 1e5, 1000, 1000, 1000)
    lease = Lease('', 1, 1e5, 1000)
    pair = len(encode_message(renewal)) + len(encode_message(lease))
    return float(members * pair)


def claim_bytes(members: int) -> float:
    """Return the size of the claims and grants of all members."""
    view = tuple(ViewMember(f'balancer-{n}', 1) for n in range(members))
    claim = Claim('', 'balancer-1', 1, 1e5, 1000, view, True, 1000)
    grant = Grant('', 'balancer-2', 1, 1e5, 1000, (), '', None)
    pair = len(encode_message(claim)) + len(encode_message(grant))
    return float(members * pair)
