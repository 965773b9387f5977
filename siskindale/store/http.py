"""Platform driver for services that speak JSON over HTTP/1.1."""

import re
from collections.abc import Callable, Sequence
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
from siskindale.store.versions import NO_VERSION, EraTracker, commit_of, version_in_era
from siskindale.transport.http import HttpClient, HttpFailure, HttpResponse, identity_headers
from siskindale.transport.metrics import TrafficPurpose

_ENCODER = msgspec.json.Encoder()
_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")


@attrs.frozen
class _ReadResponse:
    row: Row | None


@attrs.frozen
class _ScanResponse:
    rows: list[Row]


@attrs.frozen
class _CommitResponse:
    version: int


@attrs.frozen
class _LiveResponse:
    """Live list at a revision; `view` is absent if the client already has that revision."""

    revision: str
    view: LiveView | None = None


class _ServiceClient:
    """Client of one platform service."""

    def __init__(self, address: Address, settings: PlatformSettings) -> None:
        self._client = HttpClient(
            address, identity_headers("platform-client", settings.client), TrafficPurpose.PLATFORM
        )
        self._timeout_s = settings.timeout_ms / 1000
        self.eras = EraTracker()

    def exchange(
        self, method: str, path: str, body: bytes = b""
    ) -> Result[HttpResponse, PlatformError]:
        """Returns a response with status 200 or 404; everything else is an error."""
        result = self._client.request(method, path, body, self._timeout_s)
        if isinstance(result, Failure):
            return Failure(_to_platform_error(result.failure()))
        response = result.unwrap()
        if self.eras.note_response(response.headers) is None:
            return Failure(PlatformError(PlatformFailure.UNKNOWN, "response of an ended era"))
        if response.status in (200, 404):
            return Success(response)
        return Failure(PlatformError(_failure_kind(response.status), _response_detail(response)))

    def call(self, path: str, request: Any, cls: type) -> Result[Any, PlatformError]:
        """Posts a JSON request and decodes the response as `cls`."""
        result = self.exchange("POST", path, _ENCODER.encode(request))
        if isinstance(result, Failure):
            return result
        response = result.unwrap()
        if response.status != 200:
            return Failure(PlatformError(PlatformFailure.UNKNOWN, _response_detail(response)))
        try:
            return Success(msgspec.json.decode(response.body, type=cls))
        except msgspec.MsgspecError as error:
            return Failure(PlatformError(PlatformFailure.UNKNOWN, f"malformed response: {error}"))


def _to_platform_error(failure: HttpFailure) -> PlatformError:
    kind = PlatformFailure.UNKNOWN if failure.maybe_sent else PlatformFailure.UNAVAILABLE
    return PlatformError(kind, failure.detail)


def _failure_kind(status: int) -> PlatformFailure:
    kinds = {409: PlatformFailure.CONFLICT, 503: PlatformFailure.UNAVAILABLE}
    return kinds.get(status, PlatformFailure.UNKNOWN)


def _response_detail(response: HttpResponse) -> str:
    return f"status {response.status}: {response.body[:200].decode(errors='replace')}"


class HttpTables:
    """Client of the table service."""

    def __init__(self, service: _ServiceClient) -> None:
        self._service = service

    def on_restored(self, listener: Callable[[int], None]) -> None:
        """Calls `listener` with the new era when the service was restored from an older copy."""
        self._service.eras.on_restored(listener)

    def read(self, table: str, key: str) -> Result[Row | None, PlatformError]:
        """Returns the current row, None if it is absent."""
        result = self._service.call("/tables/read", {"table": table, "key": key}, _ReadResponse)
        return result.map(lambda response: response.row and self._in_era(response.row))

    def scan(self, table: str, after_version: int = 0) -> Result[list[Row], PlatformError]:
        """Returns rows changed after a version, including deleted ones, in order of version.

        Returns all rows if the service was restored from an older copy since that version.
        """
        found = self._scan(table, after_version)
        if isinstance(found, Success) and self._service.eras.has_ended(after_version):
            return self._scan(table, NO_VERSION)
        return found

    def _scan(self, table: str, after_version: int) -> Result[list[Row], PlatformError]:
        request = {"table": table, "after_version": commit_of(after_version)}
        result = self._service.call("/tables/scan", request, _ScanResponse)
        return result.map(lambda response: [self._in_era(row) for row in response.rows])

    def _in_era(self, row: Row) -> Row:
        return attrs.evolve(row, version=version_in_era(self._service.eras.era, row.version))

    def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Result[int, PlatformError]:
        """Applies all writes in one transaction if all conditions hold; returns the new version."""
        if any(self._service.eras.has_ended(row.version) for row in conditions):
            # The service may have given out the number of the commit a second time.
            return Failure(PlatformError(PlatformFailure.CONFLICT, "the service was restored"))
        expected = [attrs.evolve(row, version=commit_of(row.version)) for row in conditions]
        request = {"conditions": expected, "writes": list(writes)}
        result = self._service.call("/tables/commit", request, _CommitResponse)
        return result.map(lambda response: version_in_era(self._service.eras.era, response.version))


class HttpObjects:
    """Client of the object store."""

    def __init__(self, service: _ServiceClient) -> None:
        self._service = service

    def put(self, digest: str, content: bytes) -> Result[None, PlatformError]:
        """Stores an object; storing it again has no effect."""
        result = self._service.exchange("PUT", f"/objects/{_require_digest(digest)}", content)
        if isinstance(result, Success) and result.unwrap().status != 200:
            return Failure(
                PlatformError(PlatformFailure.UNKNOWN, _response_detail(result.unwrap()))
            )
        return result.map(lambda _: None)

    def get(self, digest: str) -> Result[bytes | None, PlatformError]:
        """Returns an object, None if it is absent."""
        result = self._service.exchange("GET", f"/objects/{_require_digest(digest)}")
        return result.map(lambda response: response.body if response.status == 200 else None)


def _require_digest(digest: str) -> str:
    if not _DIGEST_PATTERN.fullmatch(digest):
        raise ValueError(f"not a SHA-256 digest in hexadecimal: {digest!r}")
    return digest


class HttpLiveList:
    """Client of the live list, which omits a view that the client already has.

    770 names every 2 s would use half of a node's budget for control traffic.
    """

    def __init__(self, service: _ServiceClient) -> None:
        self._service = service
        self._last_response = _LiveResponse("", LiveView(frozenset(), frozenset()))

    def read(self) -> Result[LiveView, PlatformError]:
        """Returns the current view."""
        result = self._service.call("/live", {"known": self._last_response.revision}, _LiveResponse)
        return result.map(self._update_view)

    def _update_view(self, response: _LiveResponse) -> LiveView:
        if response.view is not None:
            self._last_response = response
        assert self._last_response.view is not None
        return self._last_response.view


@PLATFORM_DRIVERS.register("http")
def http_platform(settings: PlatformSettings) -> Platform:
    """Returns clients of the services at the addresses in the settings."""
    return Platform(
        HttpTables(_ServiceClient(settings.tables, settings)),
        HttpObjects(_ServiceClient(settings.objects, settings)),
        HttpLiveList(_ServiceClient(settings.live_list, settings)),
    )
