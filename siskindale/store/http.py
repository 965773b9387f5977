"""Platform driver for services that speak JSON over HTTP/1.1."""

import re
from collections.abc import Sequence
from typing import Any

import attrs
import msgspec
from returns.result import Failure, Result, Success

from siskindale.models.settings import Address, PlatformSettings
from siskindale.store.interface import (
    PLATFORM_DRIVERS,
    Condition,
    LiveView,
    Platform,
    PlatformError,
    PlatformFailure,
    Row,
    Write,
)
from siskindale.transport.http import HttpClient, HttpFailure, HttpResponse, identity_headers
from siskindale.transport.metrics import TrafficPurpose

_ENCODER = msgspec.json.Encoder()
_DIGEST = re.compile(r"[0-9a-f]{64}")


@attrs.frozen
class _Found:
    row: Row | None


@attrs.frozen
class _Rows:
    rows: list[Row]


@attrs.frozen
class _Committed:
    version: int


@attrs.frozen
class _Live:
    """The live list at a revision; `view` is absent if the client knows that revision."""

    revision: str
    view: LiveView | None = None


class _Service:
    """One service of the platform under its address."""

    def __init__(self, address: Address, settings: PlatformSettings) -> None:
        self._client = HttpClient(
            address, identity_headers("platform-client", settings.client), TrafficPurpose.PLATFORM
        )
        self._timeout_s = settings.timeout_ms / 1000

    def exchange(
        self, method: str, path: str, body: bytes = b""
    ) -> Result[HttpResponse, PlatformError]:
        """Returns a response of status 200 or 404; everything else is an error."""
        answer = self._client.request(method, path, body, self._timeout_s)
        if isinstance(answer, Failure):
            return Failure(_error(answer.failure()))
        response = answer.unwrap()
        if response.status in (200, 404):
            return Success(response)
        return Failure(PlatformError(_kind(response.status), _detail(response)))

    def call(self, path: str, request: Any, cls: type) -> Result[Any, PlatformError]:
        """Posts a JSON request and decodes the response as `cls`."""
        found = self.exchange("POST", path, _ENCODER.encode(request))
        if isinstance(found, Failure):
            return found
        response = found.unwrap()
        if response.status != 200:
            return Failure(PlatformError(PlatformFailure.UNKNOWN, _detail(response)))
        try:
            return Success(msgspec.json.decode(response.body, type=cls))
        except msgspec.MsgspecError as error:
            return Failure(PlatformError(PlatformFailure.UNKNOWN, f"malformed response: {error}"))


def _error(failure: HttpFailure) -> PlatformError:
    kind = PlatformFailure.UNKNOWN if failure.maybe_sent else PlatformFailure.UNAVAILABLE
    return PlatformError(kind, failure.detail)


def _kind(status: int) -> PlatformFailure:
    kinds = {409: PlatformFailure.CONFLICT, 503: PlatformFailure.UNAVAILABLE}
    return kinds.get(status, PlatformFailure.UNKNOWN)


def _detail(response: HttpResponse) -> str:
    return f"status {response.status}: {response.body[:200].decode(errors='replace')}"


class HttpTables:
    """Table service."""

    def __init__(self, service: _Service) -> None:
        self._service = service

    def read(self, table: str, key: str) -> Result[Row | None, PlatformError]:
        """Returns the present row, None where it is absent."""
        found = self._service.call("/tables/read", {"table": table, "key": key}, _Found)
        return found.map(lambda answer: answer.row)

    def scan(self, table: str, after_version: int = 0) -> Result[list[Row], PlatformError]:
        """Returns rows changed after a version, deleted ones included, in order of version."""
        request = {"table": table, "after_version": after_version}
        return self._service.call("/tables/scan", request, _Rows).map(lambda answer: answer.rows)

    def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Result[int, PlatformError]:
        """Applies all writes in one transaction if all conditions hold; returns the new version."""
        request = {"conditions": list(conditions), "writes": list(writes)}
        committed = self._service.call("/tables/commit", request, _Committed)
        return committed.map(lambda answer: answer.version)


class HttpObjects:
    """Object store."""

    def __init__(self, service: _Service) -> None:
        self._service = service

    def put(self, digest: str, content: bytes) -> Result[None, PlatformError]:
        """Stores an object; storing it again has no effect."""
        stored = self._service.exchange("PUT", f"/objects/{_checked(digest)}", content)
        if isinstance(stored, Success) and stored.unwrap().status != 200:
            return Failure(PlatformError(PlatformFailure.UNKNOWN, _detail(stored.unwrap())))
        return stored.map(lambda _: None)

    def get(self, digest: str) -> Result[bytes | None, PlatformError]:
        """Returns an object, None where it is absent."""
        found = self._service.exchange("GET", f"/objects/{_checked(digest)}")
        return found.map(lambda response: response.body if response.status == 200 else None)


def _checked(digest: str) -> str:
    if not _DIGEST.fullmatch(digest):
        raise ValueError(f"not a SHA-256 digest in hexadecimal: {digest!r}")
    return digest


class HttpLiveList:
    """Live list; a view that is known already is not sent again.

    770 names every 2 s would take half of a node's budget for control traffic.
    """

    def __init__(self, service: _Service) -> None:
        self._service = service
        self._known = _Live("", LiveView(frozenset(), frozenset()))

    def read(self) -> Result[LiveView, PlatformError]:
        """Returns the present view."""
        answer = self._service.call("/live", {"known": self._known.revision}, _Live)
        return answer.map(self._take)

    def _take(self, live: _Live) -> LiveView:
        if live.view is not None:
            self._known = live
        assert self._known.view is not None
        return self._known.view


@PLATFORM_DRIVERS.register("http")
def http_platform(settings: PlatformSettings) -> Platform:
    """Returns the services at the addresses of the settings."""
    return Platform(
        HttpTables(_Service(settings.tables, settings)),
        HttpObjects(_Service(settings.objects, settings)),
        HttpLiveList(_Service(settings.live_list, settings)),
    )
