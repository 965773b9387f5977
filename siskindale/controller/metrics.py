"""Metrics of the controller; the number of label values is bounded by the groups of the bundle."""

from prometheus_client import Counter, Gauge, Histogram

from siskindale.controller import views
from siskindale.controller.effects import LogEvent
from siskindale.controller.tables import Tables

DURATION_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 3)

LOSSES = Counter("siskindale_controller_losses", "Primaries considered lost", ("group",))
PROMOTIONS = Counter(
    "siskindale_controller_promotions", "Ended promotions by outcome", ("group", "outcome")
)
PROMOTION_DURATION = Histogram(
    "siskindale_controller_promotion_duration_seconds",
    "Time from the start of a promotion to its end",
    buckets=DURATION_BUCKETS_S,
)
PROMOTIONS_WITHOUT_TERM = Counter(
    "siskindale_controller_promotions_without_term", "Promotions that had no reserved term"
)
FOLLOW_REQUESTS = Counter(
    "siskindale_controller_follow_requests", "Targets told to follow", ("group",)
)
PROBES = Counter("siskindale_controller_probes", "Answers to probes", ("result",))
RESERVED_TERMS = Gauge("siskindale_controller_reserved_terms", "Unused reserved terms", ("group",))
PRIMARY_PRESENT = Gauge(
    "siskindale_controller_primary_present", "1 while a primary responds", ("group",)
)


def count_event(event: LogEvent) -> None:
    """Updates the counters and the histogram that belong to a logged event."""
    match event.name:
        case "primary-lost":
            LOSSES.labels(event.group).inc()
        case "promotion-ended":
            PROMOTIONS.labels(event.group, event.fields["outcome"]).inc()
            PROMOTION_DURATION.observe(event.fields["seconds"])
        case "promotion-without-term":
            PROMOTIONS_WITHOUT_TERM.inc()
        case "follow-requested":
            FOLLOW_REQUESTS.labels(event.group).inc()


def update_gauges(tables: Tables, now: float) -> None:
    """Sets the gauges; called once a second rather than in each tick."""
    limit = tables.durations.loss_after_ms / 1000
    for row in tables.groups.values():
        RESERVED_TERMS.labels(row.name).set(len(tables.terms[row.name].terms))
        PRIMARY_PRESENT.labels(row.name).set(views.serving_primary(row, now, limit) is not None)
