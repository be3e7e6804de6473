"""A balancer's last table on its disk."""

import msgspec

from mustardhold.adapters.disk import Disk
from mustardhold.adapters.records import DamagedFileError
from mustardhold.adapters.replica_store import read_whole, save_whole
from mustardhold.tables.routing import RoutingTable

TABLE_NAME = 'table'

_decoder = msgspec.msgpack.Decoder(RoutingTable)


def load_table(disk: Disk) -> RoutingTable | None:
    """Read the last table; a damaged one counts as none."""
    try:
        body = read_whole(disk, TABLE_NAME)
    except DamagedFileError:
        return None
    return None if body is None else _decoder.decode(body)


def save_table(disk: Disk, table: RoutingTable) -> None:
    """Replace the last table, durably."""
    save_whole(disk, TABLE_NAME, msgspec.msgpack.encode(table))
