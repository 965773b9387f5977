"""Metrics and log lines of statements that were answered."""

from siskindale.models.catalog import Route
from siskindale.models.statements import Reply, Statement
from siskindale.proxy import metrics
from siskindale.runtime.logs import logger

_LOG = logger()


def report_statement(
    statement: Statement, route: Route | None, reply: Reply, took_s: float, catalog_version: int
) -> None:
    """Counts a statement, and logs it if a target ran it or it failed.

    What the proxy answers by itself, such as a session value, is only counted.
    """
    kind = route.consistency.value if route else "none"
    outcome = reply.error.value if reply.error else "done"
    metrics.STATEMENTS.labels(kind, outcome).inc()
    metrics.STATEMENT_SECONDS.labels(kind).observe(took_s)
    if reply.error is None and not reply.target:
        return
    failed = (
        {"outcome": outcome, "detail": reply.detail.decode(errors="replace")}
        if reply.error
        else {"position": str(reply.position)}
    )
    _LOG.info(
        "statement-failed" if reply.error else "statement",
        request=statement.request_id.decode(errors="replace"),
        route=route.name if route else "",
        verb=statement.verb.value,
        target=reply.target,
        attempts=reply.attempts,
        took_ms=round(took_s * 1000, 1),
        catalog_version=catalog_version,
        **failed,
    )
