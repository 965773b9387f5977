"""Health server of a program: `/healthz`, `/readyz`, `/metrics` and reports for operators."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

import falcon
import prometheus_client
from gevent.pywsgi import WSGIServer

from siskindale.models.address import Address
from siskindale.runtime import counters

Readiness = Callable[[], Sequence[str]]
Report = Callable[[], Mapping[str, Any]]


class _Health:
    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        response.media = {"status": "ok"}


class _Ready:
    def __init__(self, readiness: Readiness) -> None:
        self._readiness = readiness

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        reasons = list(self._readiness())
        response.status = falcon.HTTP_503 if reasons else falcon.HTTP_200
        response.media = {"ready": not reasons, "reasons": reasons}


class _Metrics:
    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._registry = registry

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        response.content_type = prometheus_client.CONTENT_TYPE_LATEST
        response.data = prometheus_client.generate_latest(self._registry)


class _Report:
    def __init__(self, report: Report) -> None:
        self._report = report

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        response.media = dict(self._report())


def health_server(
    address: Address,
    readiness: Readiness,
    registry: prometheus_client.CollectorRegistry = prometheus_client.REGISTRY,
    reports: Mapping[str, Report] | None = None,
) -> WSGIServer:
    """Returns a server that is not started; `readiness` lists why the program is not ready.

    `reports` are JSON documents by path.
    """
    counters.expose()
    app: falcon.App = falcon.App()
    app.add_route("/healthz", _Health())
    app.add_route("/readyz", _Ready(readiness))
    app.add_route("/metrics", _Metrics(registry))
    for path, report in (reports or {}).items():
        app.add_route(path, _Report(report))
    return WSGIServer((address.host, address.port), app, log=None, error_log=None)
