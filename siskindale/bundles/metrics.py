"""Metrics of the bundle that a program follows."""

from prometheus_client import Counter, Gauge

VERSION = Gauge("siskindale_bundle_version", "Version of the bundle in effect, 0 for none")
CONFIRMATION_AGE = Gauge(
    "siskindale_bundle_confirmation_age_seconds", "Time since the store confirmed the bundle head"
)
REJECTIONS = Counter(
    "siskindale_bundle_rejections", "Heads whose body was absent, invalid or not signed"
)
CONTRADICTIONS = Counter(
    "siskindale_bundle_contradictions", "Heads older than or different from the adopted one"
)
BODY_READS = Counter(
    "siskindale_bundle_bodies", "Bodies of bundles that were read, by how", ("form",)
)
STORE_FAILURES = Counter(
    "siskindale_bundle_store_failures", "Failed reads of the head or of a body", ("service",)
)
