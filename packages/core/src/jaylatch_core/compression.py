"""Compression of large MessagePack documents, on the wire and in the log."""

import zlib

import msgspec

from jaylatch_core.units import KIBIBYTE, MEBIBYTE

COMPRESSION_LEVEL = 1
"""zlib level: names and hosts repeat so often that the fastest level is nearly as small as any."""
COMPRESSED_FROM = 4 * KIBIBYTE
"""Bytes from which a document is compressed."""
MAX_EXPANDED_SIZE = 32 * MEBIBYTE
"""Bytes that a document may have after decompression."""
ZLIB_HEADER = 0x78
"""First byte of zlib's format. In MessagePack it is the number 120, which no document begins with,
as all are maps or arrays."""


def compress_large(document: bytes) -> bytes:
    """Return ``document``, compressed if it is large."""
    if len(document) < COMPRESSED_FROM:
        return document
    return zlib.compress(document, COMPRESSION_LEVEL)


def expand(data: bytes) -> bytes:
    """Undo ``compress_large``. Raises ``msgspec.DecodeError`` if the bytes are damaged."""
    if not data or data[0] != ZLIB_HEADER:
        return data
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(data, MAX_EXPANDED_SIZE)
    except zlib.error as error:
        raise msgspec.DecodeError(f"the document cannot be decompressed: {error}") from error
    if not decompressor.eof:
        raise msgspec.DecodeError("the compressed document is incomplete or too large")
    return document
