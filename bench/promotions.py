"""Time without a primary, from the log lines of the session proxies of a recorded day.

A line is `SECONDS VM key=value ...`. An outage begins with the last statement that the old primary
answered and ends with the first write that the next one acknowledged.
"""

import itertools
import statistics
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path

import attrs

WRITES = frozenset({"write", "commit"})


@attrs.frozen
class Event:
    """One log line: when (in seconds), which VM, and its fields."""

    at: float
    vm: str
    fields: dict[str, str]

    @property
    def name(self) -> str:
        """Name of the event."""
        return self.fields["event"]


@attrs.frozen
class Outage:
    """One promotion; the parts are seconds from one step to the next, `total_s` is their sum.

    Detection ends with the decision, ordering with the accepted call, promotion with the proof of
    the new primary, and connecting with its first acknowledged write.
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


def read_events(path: Path) -> list[Event]:
    """Reads the log lines of a file in order of time; other lines are passed over."""
    with path.open(encoding="utf-8", errors="replace") as lines:
        found = [event for line in lines if (event := _event(line)) is not None]
    return sorted(found, key=lambda event: event.at)


def _event(line: str) -> Event | None:
    words = line.split()
    if len(words) < 3 or " event=" not in line:
        return None
    try:
        at = float(words[0])
    except ValueError:
        return None
    pairs = (word.partition("=") for word in words[2:])
    return Event(at, words[1], {key: value for key, _, value in pairs})


def find_outages(events: Sequence[Event]) -> list[Outage]:
    """Returns the outage of each promotion that came about."""
    return [outage for decided in _decisions(events) if (outage := _outage(events, decided))]


def _decisions(events: Sequence[Event]) -> Iterator[Event]:
    """Returns the first decision for each loss of a primary; others repeat it."""
    decided = (e for e in events if e.name == "promotion-decided" and e.fields.get("old"))
    seen: set[tuple[str, str]] = set()
    for event in decided:
        key = event.fields["group"], event.fields["old"]
        if key not in seen:
            seen.add(key)
            yield event


def _outage(events: Sequence[Event], decided: Event) -> Outage | None:
    group, old = decided.fields["group"], decided.fields["old"]
    before = [e for e in events if e.at <= decided.at and _served(e, old)]
    after = [e for e in events if e.at > decided.at]
    accepted = _first(e for e in after if _accepted(e, group))
    found = _first(e for e in after if accepted and _found(e, group, accepted.fields["target"]))
    if not before or accepted is None or found is None:
        return None
    # Before, the target commits transactions that only read.
    written = _first(e for e in after if e.at >= found.at and _wrote(e, found.fields["target"]))
    if written is None:
        return None
    # A leaving primary serves until its successor leads.
    served = [e.at for e in after if e.at < written.at and _served(e, old)]
    last = max(served, default=before[-1].at)
    steps = [last, *(max(last, step.at) for step in (decided, accepted, found, written))]
    parts = [later - earlier for earlier, later in itertools.pairwise(steps)]
    return Outage(group, decided.fields["reason"], _store_up(events, decided), last, *parts)


def _first(events: Iterable[Event]) -> Event | None:
    return next(iter(events), None)


def _served(event: Event, target: str) -> bool:
    return event.name == "statement" and event.fields.get("target") == target


def _wrote(event: Event, target: str) -> bool:
    return _served(event, target) and event.fields.get("verb") in WRITES


def _accepted(event: Event, group: str) -> bool:
    ordered = event.name == "promotion-ordered" and event.fields.get("group") == group
    return ordered and event.fields.get("outcome") == "accepted"


def _found(event: Event, group: str, target: str) -> bool:
    found = event.name == "primary-found" and event.fields.get("group") == group
    return found and event.fields.get("target") == target


def _store_up(events: Sequence[Event], decided: Event) -> bool:
    """Tells whether the deciding VM's last call to the store had succeeded."""
    states = [
        event.name
        for event in events
        if event.at <= decided.at
        and event.vm == decided.vm
        and event.name in ("store-available", "store-unavailable")
    ]
    return not states or states[-1] == "store-available"


def summary(outages: Sequence[Outage]) -> list[str]:
    """Returns a line with median and worst for each reason and state of the store."""
    lines = []
    for reason, store_up in itertools.product(sorted({o.reason for o in outages}), (True, False)):
        chosen = [o for o in outages if o.reason == reason and o.store_up is store_up]
        if chosen:
            lines.append(f"{reason}, store {'up' if store_up else 'down'}: {_figures(chosen)}")
    return lines


def _figures(outages: Sequence[Outage]) -> str:
    names = ("detection_s", "ordering_s", "promotion_s", "connecting_s", "total_s")
    figures = {name: [getattr(outage, name) for outage in outages] for name in names}
    shown = (
        f"{name} {statistics.median(values):.2f}/{max(values):.2f}"
        for name, values in figures.items()
    )
    return f"{len(outages)} outages, median/worst: " + ", ".join(shown)
