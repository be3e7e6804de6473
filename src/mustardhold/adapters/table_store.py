"""Storage of a balancer's latest routing table."""

import msgspec

from mustardhold.adapters.disk import Disk
from mustardhold.adapters.record_files import (
    read_record_file,
    write_record_file,
)
from mustardhold.adapters.records import DamagedFileError
from mustardhold.tables.routing import RoutingTable

TABLE_NAME = 'table'

_decoder = msgspec.msgpack.Decoder(RoutingTable)


def load_table(disk: Disk) -> RoutingTable | None:
    """Load the saved table; return None if it is missing or damaged."""
    try:
        body = read_record_file(disk, TABLE_NAME)
    except DamagedFileError:
        return None
    return None if body is None else _decoder.decode(body)


def save_table(disk: Disk, table: RoutingTable) -> None:
    """Durably replace the saved table."""
    write_record_file(disk, TABLE_NAME, msgspec.msgpack.encode(table))
