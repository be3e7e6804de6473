"""Starts the tasks of a balancer that watch how servers answer."""

import trio

from mustardhold.daemons.evidence_posts import (
    EvidencePoster,
    check_answers_periodically,
    post_evidence_periodically,
)
from mustardhold.daemons.feed_state import group_addresses
from mustardhold.daemons.token_packets import TokenBalancer


def start_evidence_tasks(
    balancer: TokenBalancer, nursery: trio.Nursery
) -> None:
    """Start the tasks that watch how servers answer, and report bad ones."""
    tracking = balancer.tables.answers
    nursery.start_soon(check_answers_periodically, tracking, balancer.clock)
    if not balancer.options.shares_evidence:
        return
    feed_client = balancer.feed_client
    poster = EvidencePoster(
        balancer.options.instance_id,
        tracking,
        lambda: group_addresses(feed_client),
        balancer.clock,
        feed_client.http_client,
        balancer.tables.counters,
    )
    nursery.start_soon(post_evidence_periodically, poster)
