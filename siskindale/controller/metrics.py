"""Metrics of the controller; labels are bounded by the groups of the bundle."""

from prometheus_client import Counter, Gauge, Histogram

from siskindale.controller import views
from siskindale.controller.effects import Record
from siskindale.controller.tables import Tables

BUCKETS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 3)

LOSSES = Counter("siskindale_controller_losses", "Primaries considered lost", ("group",))
PROMOTIONS = Counter(
    "siskindale_controller_promotions", "Ended promotions by outcome", ("group", "outcome")
)
DURATION = Histogram(
    "siskindale_controller_promotion_duration_seconds",
    "Time from the start of a promotion to its end",
    buckets=BUCKETS,
)
WITHOUT_TERM = Counter(
    "siskindale_controller_promotions_without_term", "Promotions that had no reserved term"
)
FOLLOWS = Counter("siskindale_controller_follow_requests", "Targets told to follow", ("group",))
PROBES = Counter("siskindale_controller_probes", "Answers to probes", ("result",))
TERMS = Gauge("siskindale_controller_reserved_terms", "Unused reserved terms", ("group",))
PRIMARY = Gauge("siskindale_controller_primary_present", "1 while a primary responds", ("group",))


def recorded(record: Record) -> None:
    """Counts a decision."""
    match record.event:
        case "primary-lost":
            LOSSES.labels(record.group).inc()
        case "promotion-ended":
            PROMOTIONS.labels(record.group, record.fields["outcome"]).inc()
            DURATION.observe(record.fields["seconds"])
        case "promotion-without-term":
            WITHOUT_TERM.inc()
        case "follow-requested":
            FOLLOWS.labels(record.group).inc()


def collect(tables: Tables, now: float) -> None:
    """Sets the gauges; called once a second, not in each tick."""
    limit = tables.durations.loss_after_ms / 1000
    for row in tables.groups.values():
        TERMS.labels(row.name).set(len(tables.terms[row.name].terms))
        PRIMARY.labels(row.name).set(views.serving_primary(row, now, limit) is not None)
