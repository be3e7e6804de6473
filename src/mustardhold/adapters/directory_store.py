"""Keeps the directory of backend servers over a restart.

It is soft state: servers report again within a second or two. Until then a
control instance that was restarted with all others can tell what it knew.
"""

import msgspec

from mustardhold.adapters.disk import Disk
from mustardhold.adapters.records import DamagedFileError
from mustardhold.adapters.replica_store import read_whole, save_whole
from mustardhold.tables.directory import ServerReport

DIRECTORY_NAME = 'servers'

_decoder = msgspec.msgpack.Decoder(tuple[ServerReport, ...])


def save_reports(disk: Disk, reports: tuple[ServerReport, ...]) -> None:
    """Replace what is kept, durably.

    Raises
    ------
    OSError
        If the disk takes no more.
    """
    save_whole(disk, DIRECTORY_NAME, msgspec.msgpack.encode(reports))


def load_reports(disk: Disk) -> tuple[ServerReport, ...]:
    """Read what was kept; nothing where it is missing or unreadable."""
    try:
        body = read_whole(disk, DIRECTORY_NAME)
        return () if body is None else _decoder.decode(body)
    except (DamagedFileError, msgspec.DecodeError):
        return ()
