"""Deltas between the bodies of consecutive bundles.

The body of a bundle with 920 groups has 0.9 MB; sending it whole to three programs for 1,200
changes a day would cost a node 39 KB/s. A delta has a few hundred bytes: it is compressed by
zstandard with the previous body as dictionary. The digest of the decompressed body is checked like
that of a whole body.
"""

import zstandard
from returns.result import Failure, Result, Success

COMPRESSION_LEVEL = 6
MAX_BODY_BYTES = 64 << 20


def encode(previous: bytes, content: bytes) -> bytes:
    """Returns the delta that turns `previous` into `content`."""
    return zstandard.ZstdCompressor(
        level=COMPRESSION_LEVEL, dict_data=_raw_dictionary(previous)
    ).compress(content)


def apply(previous: bytes, delta: bytes) -> Result[bytes, str]:
    """Returns the new body; fails with a reason if the delta does not match `previous`."""
    try:
        if zstandard.frame_content_size(delta) not in range(MAX_BODY_BYTES):
            return Failure("the delta does not declare a valid size")
        return Success(
            zstandard.ZstdDecompressor(dict_data=_raw_dictionary(previous)).decompress(delta)
        )
    except zstandard.ZstdError as error:
        return Failure(f"the delta cannot be applied: {error}")


def _raw_dictionary(previous: bytes) -> zstandard.ZstdCompressionDict:
    return zstandard.ZstdCompressionDict(previous, dict_type=zstandard.DICT_TYPE_RAWCONTENT)
