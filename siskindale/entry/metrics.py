"""Metrics of the entry; classes come from the bundle, so that labels stay bounded."""

import functools

from prometheus_client import Counter, Gauge, Histogram

REQUESTS = Counter(
    "siskindale_entry_requests_total",
    "Requests of callers by class of statements, outcome and kind of refusal.",
    ["statement_class", "outcome", "refusal"],
)
DURATION = Histogram(
    "siskindale_entry_request_duration_seconds",
    "Time from the request to the answer.",
    ["statement_class"],
    buckets=(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30),
)
SENT = Counter("siskindale_entry_sent_requests_total", "Requests sent to pools, also again.")
RESENT = Counter("siskindale_entry_resent_requests_total", "Requests sent to pools again.")
DROPPED = Counter(
    "siskindale_entry_dropped_answers_total", "Answers of pools that nobody waits for.", ["reason"]
)
PENDING = Gauge("siskindale_entry_pending_requests", "Requests that wait for a pool.")
CONNECTIONS = Gauge("siskindale_entry_connections", "Open connections of callers.")
REFUSED_CONNECTIONS = Counter(
    "siskindale_entry_refused_connections_total", "Connections refused at the limit."
)
AVOIDED_POOLS = Gauge("siskindale_entry_avoided_pools", "Pools that get no new work.")
BUNDLE_VERSION = Gauge("siskindale_entry_bundle_version", "Version of the bundle in effect.")

# Looking up a series by its labels costs more than counting.
_requests = functools.cache(REQUESTS.labels)
_duration = functools.cache(DURATION.labels)


def answered(statement_class: str, outcome: str, refusal: str, duration_s: float) -> None:
    """Counts a request that was answered."""
    _requests(statement_class, outcome, refusal).inc()
    _duration(statement_class).observe(duration_s)
