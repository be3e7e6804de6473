"""Publishes the routing table to balancers as changes since their version."""

from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

import msgspec
import trio

from mustardhold.adapters.clock import Clock
from mustardhold.adapters.http_app import HandlerRequest, Reply
from mustardhold.systems.table_changes import changes_since
from mustardhold.tables.constants import (
    BALANCER_POLL_RETENTION,
    MAX_CACHED_CHANGES,
    MAX_POLLING_BALANCERS,
    TABLE_POLL_WAIT,
)
from mustardhold.tables.routing import RoutingTable
from mustardhold.tables.status import BalancerPoll

CHECK_SECONDS = 0.25
NO_VERSION = '-1'


@dataclass(slots=True)
class TablePublisher:
    """The routing table, and the latest poll of each balancer.

    Attributes
    ----------
    table
        Returns the current table.
    is_current
        Returns whether this process would know of newer tables.
    changed
        Set and replaced at each change of the table.
    changed_at
        Time of day of the latest change, in seconds since 1970 in UTC.
    polls_by_balancer
        Version in each balancer's latest poll, and when it came.
    replies_by_versions
        Cache of encoded changes by the versions before and after them, and by
        whether this process was current.
    unrecorded_polls
        Polls of balancers that were not recorded for lack of space.
    """

    table: Callable[[], RoutingTable]
    is_current: Callable[[], bool]
    clock: Clock
    changed: trio.Event = field(default_factory=trio.Event)
    changed_at: float = 0
    polls_by_balancer: dict[str, BalancerPoll] = field(default_factory=dict)
    replies_by_versions: dict[tuple[int, int, bool], bytes] = field(
        default_factory=dict
    )
    unrecorded_polls: int = 0


def wake_watchers(publisher: TablePublisher) -> None:
    """Clear the cache and respond to all polls that wait for a newer table."""
    publisher.replies_by_versions.clear()
    publisher.changed_at = publisher.clock.now().timestamp()
    publisher.changed.set()
    publisher.changed = trio.Event()


async def wait_for_newer_table(publisher: TablePublisher, version: int) -> None:
    """Wait for a newer table until the long poll times out.

    Return early if this process is no longer current.
    """
    with trio.move_on_after(TABLE_POLL_WAIT.total_seconds()):
        while publisher.table().version <= version and publisher.is_current():
            with trio.move_on_after(CHECK_SECONDS):
                await publisher.changed.wait()


async def show_changes(
    publisher: TablePublisher, request: HandlerRequest
) -> Reply:
    """Respond with the changes since the version of the polling balancer."""
    after = requested_version(request)
    record_poll(publisher, request.query.get('balancer', ''), after)
    await wait_for_newer_table(publisher, after)
    return Reply(HTTPStatus.OK, encode_changes(publisher, after))


def requested_version(request: HandlerRequest) -> int:
    """Return the version in the query, or -1 if it has none."""
    text = request.query.get('after', NO_VERSION)
    return msgspec.convert(text, int, strict=False)


def encode_changes(publisher: TablePublisher, after: int) -> bytes:
    """Encode the changes after a version, or return them from the cache."""
    table = publisher.table()
    key = (max(after, 0), table.version, publisher.is_current())
    encoded = publisher.replies_by_versions.get(key)
    if encoded is None:
        changes = msgspec.structs.replace(
            changes_since(table, key[0]), is_current=key[2]
        )
        encoded = msgspec.json.encode(changes)
        if len(publisher.replies_by_versions) >= MAX_CACHED_CHANGES:
            publisher.replies_by_versions.clear()
        publisher.replies_by_versions[key] = encoded
    return encoded


def record_poll(publisher: TablePublisher, balancer: str, version: int) -> None:
    """Record which version a balancer has."""
    if not balancer:
        return
    now = publisher.clock.now().timestamp()
    polls = publisher.polls_by_balancer
    if balancer not in polls and len(polls) >= MAX_POLLING_BALANCERS:
        forget_inactive_balancers(publisher, now)
    if balancer not in polls and len(polls) >= MAX_POLLING_BALANCERS:
        publisher.unrecorded_polls += 1
        return
    polls[balancer] = BalancerPoll(max(version, 0), now)


def forget_inactive_balancers(publisher: TablePublisher, now: float) -> None:
    """Remove balancers that have not polled for a long time."""
    earliest = now - BALANCER_POLL_RETENTION.total_seconds()
    inactive = [
        balancer
        for balancer, poll in publisher.polls_by_balancer.items()
        if poll.seen_at < earliest
    ]
    for balancer in inactive:
        publisher.polls_by_balancer.pop(balancer)


def balancer_statuses(publisher: TablePublisher) -> dict[str, BalancerPoll]:
    """Return each balancer's version and its lag behind the current table."""
    now = publisher.clock.now().timestamp()
    forget_inactive_balancers(publisher, now)
    version = publisher.table().version
    return {
        balancer: msgspec.structs.replace(
            poll,
            lag=max(version - poll.version, 0),
            behind_seconds=(
                now - publisher.changed_at if poll.version < version else 0
            ),
        )
        for balancer, poll in publisher.polls_by_balancer.items()
    }
