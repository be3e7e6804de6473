"""Fetches routing tables from control replicas or other balancers."""

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
    """State of the polls for newer routing tables.

    Attributes
    ----------
    table_publisher
        Publishes the installed table to other balancers.
    disk
        Data folder for the latest table; ``None`` without one.
    is_current
        Whether the source that was polled last has contact with a leader.
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
    """Create the client and install the table that is on disk."""
    disk = open_folder(Path(options.folder)) if options.folder else None
    table_publisher = TablePublisher(
        lambda: tables.routing, lambda: client.is_current, clock
    )
    client = TableClient(options, tables, table_publisher, disk, log)
    table = None if disk is None else load_table(disk)
    if table is not None and install_table(tables, table):
        log.info('table loaded from disk', extra={'version': table.version})
    return client


def source_addresses(client: TableClient) -> Iterator[str]:
    """Yield the addresses to poll, control replicas before other balancers.

    The name of the balancer determines the first replica, to spread the
    balancers over all replicas.
    """
    controls = client.options.control_addresses
    first = sum(client.options.instance_id.encode()) % max(len(controls), 1)
    ordered = controls[first:] + controls[:first]
    return itertools.cycle((*ordered, *client.options.table_peers))


async def follow_tables(http_client: HttpClient, client: TableClient) -> None:
    """Poll the sources and install each newer table.

    A control replica is polled again as long as it is current. Another
    balancer is polled once, then the next source follows.
    """
    for address in source_addresses(client):
        while await poll_once(http_client, client, address):
            if address in client.options.table_peers:
                break
        await trio.sleep(TABLE_POLL_RETRY.total_seconds())


async def poll_once(
    http_client: HttpClient, client: TableClient, address: str
) -> bool:
    """Poll a source once, and install the table if it is newer.

    Returns
    -------
    bool
        Whether the source responded and is current.
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
    """Install a newer table, then save it on disk."""
    if not install_table(client.tables, table):
        return
    wake_watchers(client.table_publisher)
    client.log.info('table installed', extra={'version': table.version})
    if client.disk is None:
        return
    try:
        await trio.to_thread.run_sync(save_table, client.disk, table)
    except OSError:
        client.tables.counters['', 'table-save-failed'] += 1


async def poll_changes(
    http_client: HttpClient, address: str, version: int, balancer: str
) -> TableChanges | None:
    """Request the changes after a version; return ``None`` on failure."""
    query = urlencode({'after': version, 'balancer': balancer})
    request = HttpRequest('GET', address, f'/changes?{query}')
    response = await send_request(http_client, request, POLL_TIMEOUT)
    if isinstance(response, Err) or not response.value.is_success:
        return None
    try:
        return _decoder.decode(response.value.body)
    except msgspec.DecodeError:
        return None
