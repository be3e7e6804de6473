"""Configurations as they are kept and sent: the operator's bytes, deflated."""

import zlib

from mustardhold.tables.configurations import VersionedDocument


def pack_document(version: int, raw: bytes) -> VersionedDocument:
    """Deflate what an operator sent; a large one names each route alike."""
    return VersionedDocument(version, zlib.compress(raw))


def unpack_document(held: VersionedDocument) -> bytes:
    """Return the bytes as they were sent.

    Raises
    ------
    zlib.error
        If they were not packed by ``pack_document``.
    """
    return zlib.decompress(held.packed)
