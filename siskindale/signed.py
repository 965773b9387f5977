"""Signed opaque texts: MessagePack, HMAC-SHA256 and the id of the key, in base64url.

`purpose` is part of the signature, so that one kind of text is not accepted as another.
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

MAX_TEXT_BYTES = 16 << 10

_ENCODER = msgspec.msgpack.Encoder()
_PARTS = msgspec.msgpack.Decoder(tuple[str, bytes, bytes])


def seal(keys: Sequence[SessionKey], purpose: str, value: object) -> str:
    """Signs a value with the first key."""
    payload = _ENCODER.encode(value)
    parts = (keys[0].id, payload, _mac(keys[0], purpose, payload))
    return base64.urlsafe_b64encode(_ENCODER.encode(parts)).rstrip(b"=").decode()


def unseal(keys: Sequence[SessionKey], purpose: str, cls: type[T], text: str) -> Result[T, str]:
    """Returns the value of a text that any of the keys signed; fails with a reason."""
    try:
        key_id, payload, mac = _PARTS.decode(_bytes(text))
        key = next((key for key in keys if key.id == key_id), None)
        if key is None:
            return Failure("signed with an unknown key")
        if not hmac.compare_digest(mac, _mac(key, purpose, payload)):
            return Failure("signature is not valid")
        return Success(msgspec.msgpack.decode(payload, type=cls))
    except (binascii.Error, ValueError):
        return Failure("malformed")


def _bytes(text: str) -> bytes:
    if len(text) > MAX_TEXT_BYTES:
        raise ValueError("too long")
    padded = text.encode("ascii") + b"=" * (-len(text) % 4)
    return base64.b64decode(padded, altchars=b"-_", validate=True)


def _mac(key: SessionKey, purpose: str, payload: bytes) -> bytes:
    message = purpose.encode() + b"\x00" + payload
    return hmac.digest(bytes.fromhex(key.secret), message, "sha256")
