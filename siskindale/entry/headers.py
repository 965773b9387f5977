"""Request headers of the callers' API, decoded with all findings."""

import functools
import re
import uuid
from collections.abc import Iterator, Sequence
from typing import Protocol

import attrs
from returns.result import Failure, Result, Success

from siskindale.config.findings import Finding
from siskindale.entry import tokens
from siskindale.models.session import Session
from siskindale.models.settings import EntrySettings, SessionKey

AUTHORIZATION = "Authorization"
REQUEST_ID = "X-Request-Id"
DEADLINE = "Siskindale-Deadline-Ms"
KEY = "Idempotency-Key"
SESSION = "Siskindale-Session"

_REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,64}")
_DEADLINE = re.compile(r"[0-9]{1,9}")


class Carrier(Protocol):
    """Request that headers are read from."""

    def get_header(self, name: str) -> str | None:
        """Returns the value of a header."""
        ...


@attrs.frozen
class Headers:
    """Decoded headers; `deadline_s` is the time allowed, `key` the canonical form of the key."""

    deadline_s: float
    key: str | None


class RequestIds:
    """Ids that are unique, because a pool drops a request id that it has seen before.

    An id that the caller chose is kept as the first part.
    """

    def __init__(self, boot: str) -> None:
        self._boot = boot[:12]
        self._count = 0

    def next(self, chosen: str | None) -> str:
        """Returns the id of a new request."""
        self._count += 1
        unique = f"{self._boot}-{self._count:x}"
        if chosen and _REQUEST_ID.fullmatch(chosen):
            return f"{chosen}.{unique}"
        return unique


def decode(carrier: Carrier, settings: EntrySettings) -> Result[Headers, tuple[Finding, ...]]:
    """Decodes deadline and key; a deadline above the limit of the entry is lowered to it."""
    deadline, key = carrier.get_header(DEADLINE), carrier.get_header(KEY)
    if deadline is None and key is None:
        return Success(Headers(settings.default_deadline_ms / 1000, None))
    findings = tuple(_findings(deadline, key))
    if findings:
        return Failure(findings)
    allowed = int(deadline) if deadline is not None else settings.default_deadline_ms
    allowed_s = min(allowed, settings.max_deadline_ms) / 1000
    return Success(Headers(allowed_s, str(uuid.UUID(key)) if key is not None else None))


def decode_session(
    text: str | None, keys: Sequence[SessionKey], caller: str
) -> Result[Session, str]:
    """Joins the positions of all tokens of the header, which a comma separates."""
    if not text:
        return Success(Session(caller))
    decoded = [tokens.decode(keys, part.strip()) for part in text.split(",")]
    failed = next((result for result in decoded if isinstance(result, Failure)), None)
    if failed is not None:
        return Failure(failed.failure())
    sessions = [result.unwrap() for result in decoded]
    if any(session.caller != caller for session in sessions):
        return Failure("the token belongs to another caller")
    return Success(functools.reduce(_join, sessions))


def _join(session: Session, other: Session) -> Session:
    for group, position in other.positions.items():
        session = session.advanced(group, position)
    return session


def _findings(deadline: str | None, key: str | None) -> Iterator[Finding]:
    if deadline is not None and (not _DEADLINE.fullmatch(deadline) or int(deadline) == 0):
        yield Finding(DEADLINE, "must be a whole number of milliseconds above 0")
    if key is not None and not _is_uuid7(key):
        yield Finding(KEY, "must be a UUID of version 7, such as 018f…-7…")


def _is_uuid7(text: str) -> bool:
    try:
        return len(text) == 36 and uuid.UUID(text).version == 7
    except ValueError:
        return False
