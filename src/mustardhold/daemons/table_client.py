"""Follows the tables of the control replicas, or of other balancers."""

import itertools
import logging
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from urllib.parse import urlencode

import msgspec
import trio

from mustardhold.adapters.clock import Clock
from mustardhold.adapters.disk import FolderDisk, open_folder
from mustardhold.adapters.http_client import (
    HttpClient,
    HttpRequest,
    send_request,
)
from mustardhold.adapters.table_store import load_table, save_table
from mustardhold.daemons.table_handlers import TablePublisher, wake_watchers
from mustardhold.systems.routing import install_table
from mustardhold.systems.table_changes import apply_changes
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import (
    TABLE_POLL_MARGIN,
    TABLE_POLL_RETRY,
    TABLE_POLL_WAIT,
)
from mustardhold.tables.options import BalancerOptions
from mustardhold.tables.outcomes import Err
from mustardhold.tables.routing import RoutingTable, TableChanges

POLL_TIMEOUT = (TABLE_POLL_WAIT + TABLE_POLL_MARGIN).total_seconds()

_decoder = msgspec.json.Decoder(TableChanges)


@dataclass(slots=True)
class TableClient:
    """Where a balancer takes its tables from, and where it keeps them.

    Attributes
    ----------
    is_current
        Whether the latest source hears a leader.
    """

    options: BalancerOptions
    tables: BalancerTables
    table_publisher: TablePublisher
    disk: FolderDisk | None
    log: logging.Logger
    is_current: bool = False


def make_table_client(
    options: BalancerOptions,
    tables: BalancerTables,
    clock: Clock,
    log: logging.Logger,
) -> TableClient:
    """Make a feed that starts with the last table on disk."""
    disk = open_folder(Path(options.folder)) if options.folder else None
    table_publisher = TablePublisher(
        lambda: tables.routing, lambda: client.is_current, clock
    )
    client = TableClient(options, tables, table_publisher, disk, log)
    table = None if disk is None else load_table(disk)
    if table is not None and install_table(tables, table):
        log.info('table from disk', extra={'version': table.version})
    return client


def source_addresses(client: TableClient) -> Iterator[str]:
    """Yield addresses to ask, control replicas before other balancers.

    A balancer starts at a replica that its name chooses, so that the
    balancers spread over all of them.
    """
    controls = client.options.control_addresses
    first = sum(client.options.instance_id.encode()) % max(len(controls), 1)
    ordered = controls[first:] + controls[:first]
    return itertools.cycle((*ordered, *client.options.table_peers))


async def follow_tables(http_client: HttpClient, client: TableClient) -> None:
    """Put each newer table in force, from the first source that has it."""
    for address in source_addresses(client):
        while await poll_once(http_client, client, address):
            if address in client.options.table_peers:
                break
        await trio.sleep(TABLE_POLL_RETRY.total_seconds())


async def poll_once(
    http_client: HttpClient, client: TableClient, address: str
) -> bool:
    """Poll a source once.

    Returns
    -------
    bool
        Whether the source is worth another poll.
    """
    version = client.tables.routing.version
    changes = await poll_changes(
        http_client, address, version, client.options.instance_id
    )
    if changes is None:
        client.tables.counters['', 'table-poll-failed'] += 1
        client.is_current = False
        return False
    client.is_current = changes.is_current
    table = apply_changes(client.tables.routing, changes)
    if table is not None:
        await install_and_save_table(client, table)
    return changes.is_current


async def install_and_save_table(
    client: TableClient, table: RoutingTable
) -> None:
    """Put a newer table in force, then keep it on disk."""
    if not install_table(client.tables, table):
        return
    wake_watchers(client.table_publisher)
    client.log.info('table in force', extra={'version': table.version})
    if client.disk is None:
        return
    try:
        await trio.to_thread.run_sync(save_table, client.disk, table)
    except OSError:
        client.tables.counters['', 'table-save-failed'] += 1


async def poll_changes(
    http_client: HttpClient, address: str, version: int, balancer: str
) -> TableChanges | None:
    """Ask a source for what changed after a version; it may not answer."""
    query = urlencode({'after': version, 'balancer': balancer})
    request = HttpRequest('GET', address, f'/changes?{query}')
    response = await send_request(http_client, request, POLL_TIMEOUT)
    if isinstance(response, Err) or not response.value.is_success:
        return None
    try:
        return _decoder.decode(response.value.body)
    except msgspec.DecodeError:
        return None
