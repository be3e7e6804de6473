"""Durable log of accepted edits in a replica's data folder.

Each record is a length, an XXH3 checksum and a msgpack body. A torn tail is
cut off at the start; a damaged record before the tail is refused.
"""

import os
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec
import xxhash

from mustardhold.tables.routing import Edit

HEADER = struct.Struct('!IQ')
LOG_NAME = 'edits.log'

_decoder = msgspec.msgpack.Decoder(Edit)


@dataclass(frozen=True, slots=True)
class DamagedLogError(Exception):
    """A record before the end of the log does not match its checksum."""

    path: Path
    offset: int


@dataclass(slots=True)
class EditLog:
    """An open log file."""

    descriptor: int
    entries: int


def sync_folder(folder: Path) -> None:
    """Make the names within a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def read_records(path: Path) -> Iterator[tuple[int, bytes]]:
    """Yield the end offset and body of each whole record.

    Raises
    ------
    DamagedLogError
        If a record that is not the last one fails its checksum.
    """
    raw = path.read_bytes()
    offset = 0
    while offset + HEADER.size <= len(raw):
        length, checksum = HEADER.unpack_from(raw, offset)
        start = offset + HEADER.size
        body = raw[start : start + length]
        if len(body) < length:
            return
        if xxhash.xxh3_64_intdigest(body) != checksum:
            if start + length < len(raw):
                raise DamagedLogError(path, offset)
            return
        offset = start + length
        yield offset, body


def open_log(folder: Path) -> tuple[EditLog, list[Edit]]:
    """Open a folder's log and read the edits it holds."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / LOG_NAME
    path.touch()
    edits: list[Edit] = []
    end = 0
    for offset, body in read_records(path):
        edits.append(_decoder.decode(body))
        end = offset
    descriptor = os.open(path, os.O_RDWR | os.O_APPEND)
    os.ftruncate(descriptor, end)
    os.fsync(descriptor)
    sync_folder(folder)
    return EditLog(descriptor, len(edits)), edits


def append_edit(log: EditLog, edit: Edit) -> None:
    """Append an edit and wait until it is on disk."""
    body = msgspec.msgpack.encode(edit)
    header = HEADER.pack(len(body), xxhash.xxh3_64_intdigest(body))
    os.write(log.descriptor, header + body)
    os.fsync(log.descriptor)
    log.entries += 1
