"""Checksummed records, one after another in a file.

A record is the length of its body, a checksum of that length, an XXH3
checksum of the body, and the body. Whatever was written at once is one
record, so only the last record of a file can be torn.
"""

import struct
from dataclasses import dataclass

import xxhash

HEADER = struct.Struct('!IIQ')
LENGTH = struct.Struct('!I')


class DamagedFileError(OSError):
    """A file does not hold what was written to it."""


@dataclass(frozen=True, slots=True)
class Record:
    """The body of a record, and where the record ends."""

    body: bytes
    end: int


def pack_record(body: bytes) -> bytes:
    """Put a header before a body."""
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
    """Read the record at an offset, or nothing where it is not whole."""
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
    """Read all records; a torn last one is left out.

    Raises
    ------
    DamagedFileError
        If a whole record follows one that is not.
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
    """Tell whether any whole record starts at an offset or later."""
    return any(
        read_record(raw, place) is not None
        for place in range(offset, len(raw) - HEADER.size)
    )
