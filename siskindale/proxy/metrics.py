"""Metrics of the session proxy."""

from prometheus_client import Counter, Gauge, Histogram

LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0)

STATEMENTS = Counter(
    "siskindale_statements",
    "Statements by consistency of the route and outcome",
    ("route", "outcome"),
)
STATEMENT_SECONDS = Histogram(
    "siskindale_statement_seconds",
    "Time from the arrival of a statement to its reply",
    ("route",),
    buckets=LATENCY_BUCKETS_S,
)
RETRIES = Counter("siskindale_retries", "Attempts that were repeated, by reason", ("reason",))
SESSIONS = Gauge("siskindale_sessions", "Open client sessions")
CONNECTIONS_OPENED = Counter(
    "siskindale_connections_opened", "Attempts to open a connection to a target", ("outcome",)
)
PROMOTIONS = Counter("siskindale_promotions", "Calls that order a promotion", ("outcome",))
STORE_CALLS = Counter("siskindale_store_calls", "Calls to the store", ("call", "outcome"))
