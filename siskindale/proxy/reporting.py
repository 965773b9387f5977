"""Metrics and log lines of completed statements."""

from siskindale.models.catalog import Route
from siskindale.models.statements import Reply, Statement
from siskindale.proxy import metrics
from siskindale.runtime.logs import logger

_LOG = logger()


def report_statement(
    statement: Statement, route: Route | None, reply: Reply, took_s: float, catalog_version: int
) -> None:
    """Counts a statement, and logs it if it failed or a target ran it.

    A statement that the proxy completes itself, such as setting a session value, is only counted.
    """
    consistency = route.consistency.value if route else "none"
    outcome = reply.error.value if reply.error else "done"
    metrics.STATEMENTS.labels(consistency, outcome).inc()
    metrics.STATEMENT_SECONDS.labels(consistency).observe(took_s)
    if reply.error is None and not reply.target:
        return
    outcome_fields = (
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
        **({"owner": reply.owner} if reply.owner else {}),
        attempts=reply.attempts,
        took_ms=round(took_s * 1000, 1),
        catalog_version=catalog_version,
        **outcome_fields,
    )
