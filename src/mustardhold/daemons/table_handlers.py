"""Serves the tables to balancers, as changes since what they have."""

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
ANY_VERSION = '-1'


@dataclass(slots=True)
class TablePublisher:
    """Who waits for the next table, and who has which one.

    Attributes
    ----------
    table
        Returns the table in force.
    is_current
        Tells whether this process would know of newer tables.
    replies_by_versions
        Encoded changes by the versions that they lie between.
    changed_at
        Time of day of the latest change, in seconds since 1970 in UTC.
    """

    table: Callable[[], RoutingTable]
    is_current: Callable[[], bool]
    clock: Clock
    changed: trio.Event = field(default_factory=trio.Event)
    changed_at: float = 0
    seen_by_balancer: dict[str, BalancerPoll] = field(default_factory=dict)
    replies_by_versions: dict[tuple[int, int, bool], bytes] = field(
        default_factory=dict
    )
    refused: int = 0


def wake_watchers(publisher: TablePublisher) -> None:
    """Answer everyone who waits for a newer table."""
    publisher.replies_by_versions.clear()
    publisher.changed_at = publisher.clock.now().timestamp()
    publisher.changed.set()
    publisher.changed = trio.Event()


async def wait_newer(publisher: TablePublisher, version: int) -> None:
    """Wait for a newer table, as long as one poll lasts."""
    with trio.move_on_after(TABLE_POLL_WAIT.total_seconds()):
        while publisher.table().version <= version and publisher.is_current():
            with trio.move_on_after(CHECK_SECONDS):
                await publisher.changed.wait()


async def show_changes(publisher: TablePublisher, ask: HandlerRequest) -> Reply:
    """Answer with the changes since what the asking balancer has."""
    after = asked_version(ask)
    note_balancer(publisher, ask.query.get('balancer', ''), after)
    await wait_newer(publisher, after)
    return Reply(HTTPStatus.OK, encoded_changes(publisher, after))


def asked_version(ask: HandlerRequest) -> int:
    """Read which version the asker has."""
    text = ask.query.get('after', ANY_VERSION)
    return msgspec.convert(text, int, strict=False)


def encoded_changes(publisher: TablePublisher, after: int) -> bytes:
    """Encode changes once for all that have the same version."""
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


def note_balancer(
    publisher: TablePublisher, balancer: str, version: int
) -> None:
    """Remember the version that a balancer has in force."""
    if not balancer:
        return
    now = publisher.clock.now().timestamp()
    seen = publisher.seen_by_balancer
    if balancer not in seen and len(seen) >= MAX_POLLING_BALANCERS:
        forget_silent(publisher, now)
    if balancer not in seen and len(seen) >= MAX_POLLING_BALANCERS:
        publisher.refused += 1
        return
    seen[balancer] = BalancerPoll(max(version, 0), now)


def forget_silent(publisher: TablePublisher, now: float) -> None:
    """Forget balancers that have not polled for long."""
    oldest = now - BALANCER_POLL_RETENTION.total_seconds()
    silent = [
        balancer
        for balancer, seen in publisher.seen_by_balancer.items()
        if seen.seen_at < oldest
    ]
    for balancer in silent:
        publisher.seen_by_balancer.pop(balancer)


def balancers_seen(publisher: TablePublisher) -> dict[str, BalancerPoll]:
    """Return each balancer's version, and how far it is behind."""
    now = publisher.clock.now().timestamp()
    forget_silent(publisher, now)
    version = publisher.table().version
    return {
        balancer: msgspec.structs.replace(
            seen,
            lag=max(version - seen.version, 0),
            behind_seconds=(
                now - publisher.changed_at if seen.version < version else 0
            ),
        )
        for balancer, seen in publisher.seen_by_balancer.items()
    }
