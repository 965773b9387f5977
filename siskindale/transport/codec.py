"""Encoding and decoding of messages as MessagePack."""

import functools

import msgspec
from returns.result import Failure, Result, Success

from siskindale.models.messages import MESSAGES, Body, Envelope

_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)


@functools.cache
def _body_decoder(kind: str) -> msgspec.msgpack.Decoder[Body] | None:
    body_class = MESSAGES.get(kind)
    return None if body_class is None else msgspec.msgpack.Decoder(body_class)


def encode_body(body: Body) -> msgspec.Raw:
    """Encodes the body of a message for its envelope."""
    return msgspec.Raw(_ENCODER.encode(body))


def can_be_encoded(body: Body) -> bool:
    """Returns whether a message fits the encoding, which has integers of 64 bits and valid text."""
    try:
        _ENCODER.encode(body)
    except (OverflowError, ValueError, RecursionError):
        return False
    return True


def encode_envelope(envelope: Envelope) -> bytes:
    """Encodes an envelope with its body."""
    return _ENCODER.encode(envelope)


def decode_message(data: bytes) -> Result[tuple[Envelope, Body], str]:
    """Decodes a message; unknown kinds and malformed data fail with a reason."""
    try:
        envelope = _ENVELOPE_DECODER.decode(data)
        decoder = _body_decoder(envelope.kind)
        if decoder is None:
            return Failure(f"unknown message kind {envelope.kind!r}")
        return Success((envelope, decoder.decode(envelope.body)))
    except (msgspec.DecodeError, RecursionError) as error:
        return Failure(str(error))


@functools.cache
def _frame_decoder() -> msgspec.msgpack.Decoder[tuple[str, int, msgspec.Raw]]:
    return msgspec.msgpack.Decoder(tuple[str, int, msgspec.Raw])


def encode_frame(body: Body, number: int) -> bytes:
    """Encodes a message for a stream: its length in four bytes, then kind, number and body."""
    data = _ENCODER.encode((body.kind, number, msgspec.Raw(_ENCODER.encode(body))))
    return len(data).to_bytes(4, "big") + data


def decode_frame(data: bytes) -> Result[tuple[int, Body], str]:
    """Decodes a message of a stream without its length; returns its number and body."""
    try:
        kind, number, raw = _frame_decoder().decode(data)
        decoder = _body_decoder(kind)
        if decoder is None:
            return Failure(f"unknown message kind {kind!r}")
        return Success((number, decoder.decode(raw)))
    except (msgspec.DecodeError, RecursionError) as error:
        return Failure(str(error))
