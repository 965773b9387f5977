"""Outages of primaries, from the log lines of the session proxies of a recorded day.

A line is `SECONDS VM key=value ...`. An outage starts at the last statement that the old primary
answered and ends at the first write that the new primary acknowledged.
"""

import itertools
import statistics
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path

import attrs

WRITE_VERBS = frozenset({"write", "commit"})


@attrs.frozen
class LogEvent:
    """One log line: its time in seconds, its VM and its fields."""

    at: float
    vm: str
    fields: dict[str, str]

    @property
    def name(self) -> str:
        """Name of the event."""
        return self.fields["event"]


@attrs.frozen
class Outage:
    """One promotion; the durations of its steps are in seconds, `total_s` is their sum.

    Detection ends with the decision, ordering with the accepted call, promotion when the new
    primary is found, and connecting with its first acknowledged write.
    """

    group: str
    reason: str
    store_up: bool
    lost_at: float
    detection_s: float
    ordering_s: float
    promotion_s: float
    connecting_s: float

    @property
    def total_s(self) -> float:
        """Seconds without an acknowledged write."""
        return self.detection_s + self.ordering_s + self.promotion_s + self.connecting_s


def read_events(path: Path) -> list[LogEvent]:
    """Reads the log lines of a file, sorted by time; skips other lines."""
    with path.open(encoding="utf-8", errors="replace") as lines:
        events = [event for line in lines if (event := _parse_line(line)) is not None]
    return sorted(events, key=lambda event: event.at)


def _parse_line(line: str) -> LogEvent | None:
    words = line.split()
    if len(words) < 3 or " event=" not in line:
        return None
    try:
        at = float(words[0])
    except ValueError:
        return None
    pairs = (word.partition("=") for word in words[2:])
    return LogEvent(at, words[1], {key: value for key, _, value in pairs})


def find_outages(events: Sequence[LogEvent]) -> list[Outage]:
    """Returns the outage of each completed promotion."""
    return [
        outage for decided in _first_decisions(events) if (outage := _find_outage(events, decided))
    ]


def _first_decisions(events: Sequence[LogEvent]) -> Iterator[LogEvent]:
    """Yields the first decision for each loss of a primary; later ones repeat it."""
    decided = (e for e in events if e.name == "promotion-decided" and e.fields.get("old"))
    seen: set[tuple[str, str]] = set()
    for event in decided:
        key = event.fields["group"], event.fields["old"]
        if key not in seen:
            seen.add(key)
            yield event


def _find_outage(events: Sequence[LogEvent], decided: LogEvent) -> Outage | None:
    group, old = decided.fields["group"], decided.fields["old"]
    before = [e for e in events if e.at <= decided.at and _is_served_by(e, old)]
    after = [e for e in events if e.at > decided.at]
    order_accepted = _first(e for e in after if _is_accepted_order(e, group))
    primary_found = _first(
        e
        for e in after
        if order_accepted and _is_primary_found(e, group, order_accepted.fields["target"])
    )
    if not before or order_accepted is None or primary_found is None:
        return None
    # Earlier commits on the target are of read-only transactions.
    first_write = _first(
        e
        for e in after
        if e.at >= primary_found.at and _is_write_to(e, primary_found.fields["target"])
    )
    if first_write is None:
        return None
    # A leaving primary serves until its successor becomes the primary.
    served = [e.at for e in after if e.at < first_write.at and _is_served_by(e, old)]
    last_served_at = max(served, default=before[-1].at)
    step_times = [
        last_served_at,
        *(
            max(last_served_at, step.at)
            for step in (decided, order_accepted, primary_found, first_write)
        ),
    ]
    parts = [later - earlier for earlier, later in itertools.pairwise(step_times)]
    return Outage(
        group, decided.fields["reason"], _was_store_up(events, decided), last_served_at, *parts
    )


def _first(events: Iterable[LogEvent]) -> LogEvent | None:
    return next(iter(events), None)


def _is_served_by(event: LogEvent, target: str) -> bool:
    return event.name == "statement" and event.fields.get("target") == target


def _is_write_to(event: LogEvent, target: str) -> bool:
    return _is_served_by(event, target) and event.fields.get("verb") in WRITE_VERBS


def _is_accepted_order(event: LogEvent, group: str) -> bool:
    ordered = event.name == "promotion-ordered" and event.fields.get("group") == group
    return ordered and event.fields.get("outcome") == "accepted"


def _is_primary_found(event: LogEvent, group: str, target: str) -> bool:
    found = event.name == "primary-found" and event.fields.get("group") == group
    return found and event.fields.get("target") == target


def _was_store_up(events: Sequence[LogEvent], decided: LogEvent) -> bool:
    """Whether the deciding VM's last store event was `store-available`; true without an event."""
    states = [
        event.name
        for event in events
        if event.at <= decided.at
        and event.vm == decided.vm
        and event.name in ("store-available", "store-unavailable")
    ]
    return not states or states[-1] == "store-available"


def summary_lines(outages: Sequence[Outage]) -> list[str]:
    """Returns a line with median and worst durations for each reason and state of the store."""
    lines = []
    for reason, store_up in itertools.product(sorted({o.reason for o in outages}), (True, False)):
        chosen = [o for o in outages if o.reason == reason and o.store_up is store_up]
        if chosen:
            lines.append(
                f"{reason}, store {'up' if store_up else 'down'}: {_format_figures(chosen)}"
            )
    return lines


def _format_figures(outages: Sequence[Outage]) -> str:
    names = ("detection_s", "ordering_s", "promotion_s", "connecting_s", "total_s")
    figures = {name: [getattr(outage, name) for outage in outages] for name in names}
    shown = (
        f"{name} {statistics.median(values):.2f}/{max(values):.2f}"
        for name, values in figures.items()
    )
    return f"{len(outages)} outages, median/worst: " + ", ".join(shown)
