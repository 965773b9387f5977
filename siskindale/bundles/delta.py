"""Deltas between the bodies of consecutive bundles.

A body of 920 groups has 0.9 MB; 1,200 changes a day of whole bodies to three programs would cost a
node 39 KB/s. A delta has a few hundred bytes. It is zstandard data that refers to the previous body
as its dictionary; the digest of the result is checked like that of a whole body.
"""

import zstandard
from returns.result import Failure, Result, Success

LEVEL = 6
MAX_BODY_BYTES = 64 << 20


def encode(previous: bytes, content: bytes) -> bytes:
    """Returns the delta that turns `previous` into `content`."""
    return zstandard.ZstdCompressor(level=LEVEL, dict_data=_dictionary(previous)).compress(content)


def apply(previous: bytes, delta: bytes) -> Result[bytes, str]:
    """Returns the new body; fails with a reason if the delta does not fit `previous`."""
    try:
        if zstandard.frame_content_size(delta) not in range(MAX_BODY_BYTES):
            return Failure("the delta does not state an acceptable size")
        return Success(
            zstandard.ZstdDecompressor(dict_data=_dictionary(previous)).decompress(delta)
        )
    except zstandard.ZstdError as error:
        return Failure(f"the delta does not apply: {error}")


def _dictionary(previous: bytes) -> zstandard.ZstdCompressionDict:
    return zstandard.ZstdCompressionDict(previous, dict_type=zstandard.DICT_TYPE_RAWCONTENT)
