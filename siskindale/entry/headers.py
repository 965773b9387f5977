"""Decodes the request headers of the callers' API and collects all findings."""

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
IDEMPOTENCY_KEY = "Idempotency-Key"
SESSION = "Siskindale-Session"

_REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,64}")
_DEADLINE_PATTERN = re.compile(r"[0-9]{1,9}")


class HeaderSource(Protocol):
    """Request whose headers are read."""

    def get_header(self, name: str) -> str | None:
        """Returns the value of a header."""
        ...


@attrs.frozen
class RequestHeaders:
    """Decoded headers; `deadline_s` is the time allowed, `idempotency_key` is in canonical form."""

    deadline_s: float
    idempotency_key: str | None


class RequestIdGenerator:
    """Generates unique request ids, because a pool drops a request whose id it has seen before.

    A valid id sent by the caller becomes the prefix.
    """

    def __init__(self, boot: str) -> None:
        self._boot = boot[:12]
        self._count = 0

    def next_id(self, requested_id: str | None) -> str:
        """Returns the id of a new request."""
        self._count += 1
        unique = f"{self._boot}-{self._count:x}"
        if requested_id and _REQUEST_ID_PATTERN.fullmatch(requested_id):
            return f"{requested_id}.{unique}"
        return unique


def decode(
    source: HeaderSource, settings: EntrySettings
) -> Result[RequestHeaders, tuple[Finding, ...]]:
    """Decodes deadline and idempotency key; caps the deadline at the limit of the entry."""
    deadline, idempotency_key = source.get_header(DEADLINE), source.get_header(IDEMPOTENCY_KEY)
    if deadline is None and idempotency_key is None:
        return Success(RequestHeaders(settings.default_deadline_ms / 1000, None))
    findings = tuple(_findings(deadline, idempotency_key))
    if findings:
        return Failure(findings)
    allowed_ms = int(deadline) if deadline is not None else settings.default_deadline_ms
    allowed_s = min(allowed_ms, settings.max_deadline_ms) / 1000
    return Success(
        RequestHeaders(
            allowed_s, str(uuid.UUID(idempotency_key)) if idempotency_key is not None else None
        )
    )


def decode_session(
    text: str | None, keys: Sequence[SessionKey], caller: str
) -> Result[Session, str]:
    """Decodes the comma-separated tokens of the header and merges their positions."""
    if not text:
        return Success(Session(caller))
    decoded = [tokens.decode(keys, part.strip()) for part in text.split(",")]
    failure = next((result for result in decoded if isinstance(result, Failure)), None)
    if failure is not None:
        return Failure(failure.failure())
    sessions = [result.unwrap() for result in decoded]
    if any(session.caller != caller for session in sessions):
        return Failure("the token belongs to another caller")
    return Success(functools.reduce(_merge_sessions, sessions))


def _merge_sessions(session: Session, other: Session) -> Session:
    for group, position in other.positions.items():
        session = session.with_position(group, position)
    return session


def _findings(deadline: str | None, idempotency_key: str | None) -> Iterator[Finding]:
    if deadline is not None and (not _DEADLINE_PATTERN.fullmatch(deadline) or int(deadline) == 0):
        yield Finding(DEADLINE, "must be a whole number of milliseconds above 0")
    if idempotency_key is not None and not _is_uuid7(idempotency_key):
        yield Finding(IDEMPOTENCY_KEY, "must be a UUID of version 7, such as 018f…-7…")


def _is_uuid7(text: str) -> bool:
    try:
        return len(text) == 36 and uuid.UUID(text).version == 7
    except ValueError:
        return False
