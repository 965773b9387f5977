"""Health server of a program: `/healthz`, `/readyz`, `/metrics` and status reports."""

import json
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import prometheus_client
from gevent.server import StreamServer

from siskindale.models.address import Address
from siskindale.runtime import counters
from siskindale.transport.http_server import Response, create_http_server

METRICS_PATH = "/metrics"

NotReadyReasons = Callable[[], Sequence[str]]
Report = Callable[[], Mapping[str, Any]]


def create_health_server(
    address: Address,
    not_ready_reasons: NotReadyReasons,
    reports: Mapping[str, Report] | None = None,
) -> StreamServer:
    """Creates the server without starting it.

    `not_ready_reasons` lists why the program is not ready; `reports` are JSON documents by path.
    """
    handlers = {
        "/healthz": lambda: _json_response({"status": "ok"}),
        "/readyz": lambda: _readiness_response(not_ready_reasons()),
        METRICS_PATH: metrics_response,
    }
    for path, report in (reports or {}).items():
        handlers[path] = lambda report=report: _json_response(report())  # type: ignore[misc]
    return create_http_server(address, handlers)


def _readiness_response(reasons: Sequence[str]) -> Response:
    return _json_response({"ready": not reasons, "reasons": list(reasons)}, 503 if reasons else 200)


def metrics_response() -> Response:
    """Returns the metrics of this process in the Prometheus text format."""
    counters.register_collector()
    return Response(200, prometheus_client.generate_latest(), prometheus_client.CONTENT_TYPE_LATEST)


def _json_response(document: Mapping[str, Any], status: int = 200) -> Response:
    return Response(status, json.dumps(dict(document)).encode(), "application/json")
