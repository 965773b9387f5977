"""Envelope of the messages between programs, and the registry of message classes."""

from collections.abc import Callable
from typing import Any

import attrs
import msgspec

MESSAGES: dict[str, type] = {}


def message(kind: str) -> Callable[[type], type]:
    """Registers a message class under `kind`."""

    def register(cls: type) -> type:
        MESSAGES[kind] = cls
        cls.kind = kind  # type: ignore[attr-defined]
        return cls

    return register


@attrs.frozen
class Envelope:
    """Metadata of a message and its encoded body.

    `sender` is the name of the program, `sender_boot` a random id of its current run, `reply_to`
    the URL of its inbox, `sent_at` its monotonic clock in seconds. An answer repeats
    `correlation_id` and carries in `addressed_boot` the boot that it answers.
    """

    kind: str
    sender: str
    sender_boot: str
    reply_to: str
    correlation_id: int
    sent_at: float
    body: msgspec.Raw
    addressed_boot: str = ""


Body = Any
