"""MessagePack encoding of messages by msgspec."""

import functools

import msgspec
from returns.result import Failure, Result, Success

from siskindale.models.messages import MESSAGES, Body, Envelope

_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPES = msgspec.msgpack.Decoder(Envelope)


@functools.cache
def _body_decoder(kind: str) -> msgspec.msgpack.Decoder[Body] | None:
    cls = MESSAGES.get(kind)
    return None if cls is None else msgspec.msgpack.Decoder(cls)


def pack(body: Body) -> msgspec.Raw:
    """Encodes the body of a message."""
    return msgspec.Raw(_ENCODER.encode(body))


def encode(envelope: Envelope) -> bytes:
    """Encodes a whole message."""
    return _ENCODER.encode(envelope)


def decode(data: bytes) -> Result[tuple[Envelope, Body], str]:
    """Decodes a message; fails with a reason for unknown kinds and malformed data."""
    try:
        envelope = _ENVELOPES.decode(data)
        decoder = _body_decoder(envelope.kind)
        if decoder is None:
            return Failure(f"unknown message kind {envelope.kind!r}")
        return Success((envelope, decoder.decode(envelope.body)))
    except msgspec.DecodeError as error:
        return Failure(str(error))
