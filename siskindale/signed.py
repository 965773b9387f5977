"""Signed opaque tokens: key id, MessagePack payload and HMAC-SHA256, encoded as base64url.

The MAC covers `purpose`, so that one kind of token is not accepted as another.
"""

import base64
import binascii
import hmac
from collections.abc import Sequence
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from siskindale.models.settings import SessionKey

T = TypeVar("T")

MAX_TOKEN_BYTES = 16 << 10

_ENCODER = msgspec.msgpack.Encoder()
_TOKEN_DECODER = msgspec.msgpack.Decoder(tuple[str, bytes, bytes])


def sign_value(keys: Sequence[SessionKey], purpose: str, value: object) -> str:
    """Returns a token with the value, signed with the first key."""
    payload = _ENCODER.encode(value)
    token_fields = (keys[0].id, payload, _mac(keys[0], purpose, payload))
    return base64.urlsafe_b64encode(_ENCODER.encode(token_fields)).rstrip(b"=").decode()


def verify_token(
    keys: Sequence[SessionKey], purpose: str, value_type: type[T], token: str
) -> Result[T, str]:
    """Returns the value of a token signed with any of the keys, or fails with a reason."""
    try:
        key_id, payload, mac = _TOKEN_DECODER.decode(_decode_base64url(token))
        key = next((key for key in keys if key.id == key_id), None)
        if key is None:
            return Failure("signed with an unknown key")
        if not hmac.compare_digest(mac, _mac(key, purpose, payload)):
            return Failure("signature is not valid")
        return Success(msgspec.msgpack.decode(payload, type=value_type))
    except (binascii.Error, ValueError):
        return Failure("malformed")


def _decode_base64url(token: str) -> bytes:
    if len(token) > MAX_TOKEN_BYTES:
        raise ValueError("too long")
    padded = token.encode("ascii") + b"=" * (-len(token) % 4)
    return base64.b64decode(padded, altchars=b"-_", validate=True)


def _mac(key: SessionKey, purpose: str, payload: bytes) -> bytes:
    signed_bytes = purpose.encode() + b"\x00" + payload
    return hmac.digest(bytes.fromhex(key.secret), signed_bytes, "sha256")
