"""Metrics of the entry; class labels come from the bundle, which bounds their number."""

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

# Cached, because looking up a series by its labels costs more than incrementing it.
_requests_by_labels = functools.cache(REQUESTS.labels)
_duration_by_labels = functools.cache(DURATION.labels)


def record_request(statement_class: str, outcome: str, refusal: str, duration_s: float) -> None:
    """Records a finished request with its duration."""
    _requests_by_labels(statement_class, outcome, refusal).inc()
    _duration_by_labels(statement_class).observe(duration_s)
