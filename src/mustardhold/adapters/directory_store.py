"""Storage of the directory of backend servers across restarts.

The directory is soft state: servers report again within a second or two. If
all control instances restart, they serve the saved directory until then.
"""

import msgspec

from mustardhold.adapters.disk import Disk
from mustardhold.adapters.records import DamagedFileError
from mustardhold.adapters.replica_store import (
    read_record_file,
    write_record_file,
)
from mustardhold.tables.directory import ServerReport

DIRECTORY_NAME = 'servers'

_decoder = msgspec.msgpack.Decoder(tuple[ServerReport, ...])


def save_reports(disk: Disk, reports: tuple[ServerReport, ...]) -> None:
    """Durably replace the saved reports.

    Raises
    ------
    OSError
        If the write fails, for example because the disk is full.
    """
    write_record_file(disk, DIRECTORY_NAME, msgspec.msgpack.encode(reports))


def load_reports(disk: Disk) -> tuple[ServerReport, ...]:
    """Load the saved reports; return none if missing or unreadable."""
    try:
        body = read_record_file(disk, DIRECTORY_NAME)
        return () if body is None else _decoder.decode(body)
    except (DamagedFileError, msgspec.DecodeError):
        return ()
