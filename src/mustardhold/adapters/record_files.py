"""Files that consist of one checksummed record and are replaced as a whole."""

from mustardhold.adapters.disk import Disk, replace_file
from mustardhold.adapters.records import (
    DamagedFileError,
    pack_record,
    read_record,
)


def read_record_file(disk: Disk, name: str) -> bytes | None:
    """Read a file that consists of one record; return None if missing.

    Raises
    ------
    DamagedFileError
        If the file does not match its checksums.
    """
    raw = disk.read(name)
    if raw is None:
        return None
    record = read_record(raw, 0)
    if record is None or record.end != len(raw):
        raise DamagedFileError(f'{name} is damaged')
    return record.body


def write_record_file(disk: Disk, name: str, body: bytes) -> None:
    """Durably replace a file by one record."""
    replace_file(disk, name, pack_record(body))
