"""Follows the routing table by long polls of the control replicas."""

import itertools
import logging

import httpx
import msgspec
import trio

from mustardhold.systems.routing import install_table
from mustardhold.tables.balancer import BalancerTables
from mustardhold.tables.constants import LONG_POLL
from mustardhold.tables.options import BalancerOptions
from mustardhold.tables.routing import RoutingTable

RETRY_SECONDS = 0.3
MARGIN_SECONDS = 2


async def follow_tables(
    client: httpx.AsyncClient,
    options: BalancerOptions,
    tables: BalancerTables,
    log: logging.Logger,
) -> None:
    """Put each newer table in force, asking the replicas in turn."""
    for address in itertools.cycle(options.control_addresses):
        try:
            while True:
                table = await poll_table(
                    client, address, tables.routing.version
                )
                if install_table(tables, table):
                    log.info('table in force', extra={'version': table.version})
        except (httpx.HTTPError, msgspec.DecodeError):
            tables.counters['', 'table-poll-failed'] += 1
        await trio.sleep(RETRY_SECONDS)


async def poll_table(
    client: httpx.AsyncClient, address: str, version: int
) -> RoutingTable:
    """Wait for a table newer than a version, as long as one poll lasts."""
    reply = await client.get(
        f'http://{address}/table',
        params={'after': version},
        timeout=LONG_POLL.total_seconds() + MARGIN_SECONDS,
    )
    reply.raise_for_status()
    return msgspec.json.decode(reply.content, type=RoutingTable)
