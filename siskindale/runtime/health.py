"""Health server of a program: `/healthz`, `/readyz`, `/metrics` and reports for operators."""

import json
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import prometheus_client
from gevent.server import StreamServer

from siskindale.models.address import Address
from siskindale.runtime import counters
from siskindale.transport.http_server import Response, http_server

METRICS_PATH = "/metrics"

Readiness = Callable[[], Sequence[str]]
Report = Callable[[], Mapping[str, Any]]


def health_server(
    address: Address, readiness: Readiness, reports: Mapping[str, Report] | None = None
) -> StreamServer:
    """Returns a server that is not started; `readiness` lists why the program is not ready.

    `reports` are JSON documents by path.
    """
    pages = {
        "/healthz": lambda: _document({"status": "ok"}),
        "/readyz": lambda: _ready(readiness()),
        METRICS_PATH: metrics_page,
    }
    for path, report in (reports or {}).items():
        pages[path] = lambda report=report: _document(report())  # type: ignore[misc]
    return http_server(address, pages)


def _ready(reasons: Sequence[str]) -> Response:
    return _document({"ready": not reasons, "reasons": list(reasons)}, 503 if reasons else 200)


def metrics_page() -> Response:
    """Returns the metrics of this process."""
    counters.expose()
    return Response(200, prometheus_client.generate_latest(), prometheus_client.CONTENT_TYPE_LATEST)


def _document(document: Mapping[str, Any], status: int = 200) -> Response:
    return Response(status, json.dumps(dict(document)).encode(), "application/json")
