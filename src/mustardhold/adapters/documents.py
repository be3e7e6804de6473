"""Compression of configurations for storage and transfer."""

import zlib

from mustardhold.tables.configurations import VersionedDocument


def pack_document(version: int, raw: bytes) -> VersionedDocument:
    """Compress the bytes that an operator sent.

    Large configurations compress well, because their routes look alike.
    """
    return VersionedDocument(version, zlib.compress(raw))


def unpack_document(document: VersionedDocument) -> bytes:
    """Return the bytes that the operator sent.

    Raises
    ------
    zlib.error
        If the document was not packed by ``pack_document``.
    """
    return zlib.decompress(document.packed)
