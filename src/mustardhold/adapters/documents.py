"""Compression of configurations for storage and transfer."""

import zlib

from mustardhold.tables.configurations import VersionedDocument
from mustardhold.tables.outcomes import Err, Ok, Outcome


def pack_document(version: int, raw: bytes) -> VersionedDocument:
    """Compress the bytes that an operator sent.

    Large configurations compress well, because their routes look alike.
    """
    return VersionedDocument(version, zlib.compress(raw))


def unpack_document(document: VersionedDocument) -> Outcome[bytes, str]:
    """Return the bytes that the operator sent, or why they are unreadable."""
    try:
        return Ok(zlib.decompress(document.packed))
    except zlib.error as error:
        return Err(str(error))
