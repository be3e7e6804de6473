"""A file format of consecutive checksummed records.

A record consists of the length of its body, an XXH32 checksum of that length,
an XXH3 checksum of the body, and the body. Each write is one record, so a
crash can only tear the last record of a file.
"""

import struct
from dataclasses import dataclass

import xxhash

HEADER = struct.Struct('!IIQ')
LENGTH = struct.Struct('!I')


class DamagedFileError(OSError):
    """A file is missing or its content is not what was written."""


@dataclass(frozen=True, slots=True)
class Record:
    """The body of a record and the offset of the record's end."""

    body: bytes
    end: int


def pack_record(body: bytes) -> bytes:
    """Encode a body as a record with its header."""
    length = LENGTH.pack(len(body))
    return (
        HEADER.pack(
            len(body),
            xxhash.xxh32_intdigest(length),
            xxhash.xxh3_64_intdigest(body),
        )
        + body
    )


def read_record(raw: bytes, offset: int) -> Record | None:
    """Read the record at an offset; return None if torn or damaged."""
    start = offset + HEADER.size
    if start > len(raw):
        return None
    length, length_check, body_check = HEADER.unpack_from(raw, offset)
    if xxhash.xxh32_intdigest(LENGTH.pack(length)) != length_check:
        return None
    body = raw[start : start + length]
    if len(body) < length or xxhash.xxh3_64_intdigest(body) != body_check:
        return None
    return Record(body, start + length)


def read_records(name: str, raw: bytes) -> list[Record]:
    """Read all records; a torn record at the end is skipped.

    Raises
    ------
    DamagedFileError
        If an intact record follows a torn or damaged one.
    """
    records: list[Record] = []
    offset = 0
    while offset < len(raw):
        record = read_record(raw, offset)
        if record is None:
            if has_record_after(raw, offset + 1):
                raise DamagedFileError(f'{name} is damaged at byte {offset}')
            return records
        records.append(record)
        offset = record.end
    return records


def has_record_after(raw: bytes, offset: int) -> bool:
    """Return whether an intact record starts at an offset or later."""
    return any(
        read_record(raw, position) is not None
        for position in range(offset, len(raw) - HEADER.size)
    )
