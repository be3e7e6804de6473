"""The deflate content encoding of HTTP bodies."""

import zlib

from mustardhold.tables.outcomes import Err, Ok, Outcome

DEFLATE = 'deflate'
# A fast level: bodies are repetitive, and a link is slower than the processor.
LEVEL = 1


def deflate(body: bytes) -> bytes:
    """Compress a body."""
    return zlib.compress(body, LEVEL)


def inflate(body: bytes, max_bytes: int) -> Outcome[bytes, str]:
    """Decompress a body, or return why it is unreadable.

    Parameters
    ----------
    max_bytes
        Size of the result beyond which it is refused.
    """
    decompressor = zlib.decompressobj()
    try:
        inflated = decompressor.decompress(body, max_bytes)
    except zlib.error as error:
        return Err(str(error))
    if not decompressor.eof:
        return Err('is incomplete or too large')
    return Ok(inflated)
