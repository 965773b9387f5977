"""Metrics of the session proxy."""

from siskindale.runtime.counters import Histogram, Metric

LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0)

STATEMENTS = Metric(
    "siskindale_statements",
    "Statements by consistency of the route and outcome",
    ("route", "outcome"),
)
STATEMENT_SECONDS = Histogram(
    "siskindale_statement_seconds",
    "Time from the arrival of a statement to its reply",
    ("route",),
    LATENCY_BUCKETS_S,
)
RETRIES = Metric("siskindale_retries", "Attempts that were repeated, by reason", ("reason",))
INTERRUPTED = Metric(
    "siskindale_interrupted", "Requests and transactions interrupted by a shutdown"
).labels()
SESSIONS = Metric("siskindale_sessions", "Open client sessions", gauge=True).labels()
CONNECTIONS_OPENED = Metric(
    "siskindale_connections_opened", "Attempts to open a connection to a target", ("outcome",)
)
PROMOTIONS = Metric("siskindale_promotions", "Calls that order a promotion", ("outcome",))
STORE_CALLS = Metric("siskindale_store_calls", "Calls to the store", ("call", "outcome"))
STORE_RESTORATIONS = Metric(
    "siskindale_store_restorations", "Restorations of the store from an older copy"
).labels()
REGISTRATIONS_OUTDATED = Metric(
    "siskindale_registrations_outdated", "Tables of registrations older than the known one"
).labels()
MEMBERS = Metric(
    "siskindale_members", "Members of the fleet that are not gone", gauge=True
).labels()
DATAGRAMS = Metric("siskindale_member_datagrams", "Datagrams of the membership", ("direction",))
FORWARDED = Metric("siskindale_forwarded", "Messages forwarded to owners", ("kind",))
LINKS_OPENED = Metric("siskindale_links_opened", "Links to owners that were opened").labels()
CONNECTIONS_REPLACED = Metric(
    "siskindale_connections_replaced", "Connections of a workspace closed for another workspace"
).labels()
CALLERS_REFUSED = Metric(
    "siskindale_callers_refused",
    "Statements refused by key, age of the catalog or quota",
    ("reason",),
)
