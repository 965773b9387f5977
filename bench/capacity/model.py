"""Arithmetic at the size of the target, from measured figures."""

from pathlib import Path
from statistics import linear_regression

import attrs
import msgspec

from bench.capacity.node import NodeCost
from bench.speed import Speed

# Size in two years.
NODES = 770
DATABASES = 920
CONNECTIONS = 5_400_000
STATEMENTS_PER_S = 1_800_000
CHANGES_PER_DAY = 1_200
RESTARTS_PER_DAY = 430
FAILURES_PER_DAY = 5
FAILURE_DOMAINS = 6
PRIMARY_CHANGES_PER_DAY = 2
DAY_S = 86_400

# Control budget of a node.
CPU_BUDGET = 0.027
MEMORY_BUDGET_MB = 64.0
BYTES_BUDGET = 8_000.0

# Load that the platform's table service handles.
STORE_READS_PER_S = 2_000
STORE_WRITES_PER_S = 300

# Durations of docs/OPERATIONS.md for this size, and those of the code.
HEAD_POLL_S = 2.0
DIRECTORY_POLL_S = 2.0
PROGRAMS = 3


@attrs.frozen
class Measurements:
    """Measured figures; `idle_callers` gives the entry's memory in KiB by connections."""

    machine: str
    commit: str
    idle_callers: dict[int, float]
    speed: Speed
    nodes: list[NodeCost]
    changing_probe_interval: list[NodeCost]


@attrs.frozen
class Line:
    """One line of the table: a quantity at the target's size against its limit."""

    role: str
    quantity: str
    value: float
    unit: str
    limit: float | None
    mechanism: str

    @property
    def verdict(self) -> str:
        """Whether the value is within its limit."""
        if self.limit is None:
            return ""
        return "within" if self.value <= self.limit else f"short by {self.value / self.limit:.1f}x"


def read(path: Path) -> Measurements:
    """Reads stored measurements."""
    return msgspec.json.decode(path.read_bytes(), type=Measurements)


def slope(points: dict[int, float]) -> float:
    """Returns the least-squares slope over sizes."""
    return linear_regression(list(points), list(points.values())).slope


def control_bytes(node: NodeCost) -> float:
    """Returns bytes a second that a node exchanges with others for control, without changes."""
    return sum(node.bytes_per_s.get(k, 0.0) for k in ("platform", "target-control", "control"))


def lines(measured: Measurements) -> list[Line]:
    """Returns the whole table."""
    return [
        *_callers(measured),
        *_statements(measured),
        *_control(measured, measured.nodes[-1], "probes every 150 ms"),
        *_control(measured, measured.changing_probe_interval[-1], "probes every 1.25 s"),
        *_store(),
    ]


def _callers(measured: Measurements) -> list[Line]:
    per_node = CONNECTIONS / NODES
    memory = slope(measured.idle_callers) * per_node / 1024
    return [
        Line("entry", "caller connections", per_node, "per node", None, "one greenlet each"),
        Line("entry", "memory of idle callers", memory, "MB", None, "one greenlet each"),
    ]


def _statements(measured: Measurements) -> list[Line]:
    per_node = STATEMENTS_PER_S / NODES
    busiest = max(row.callers for row in measured.speed.throughput)
    rows = [row for row in measured.speed.throughput if row.callers == busiest]
    return [
        line
        for row in rows
        for line in (
            Line(
                "entry",
                f"CPU for {per_node:,.0f} statements/s, {row.kind}",
                row.entry_cpu_us * per_node / 1e6,
                "cores",
                1.0,
                "one loop; a second entry per VM",
            ),
            Line(
                "pool",
                f"CPU for {per_node:,.0f} statements/s, {row.kind}",
                row.pool_cpu_us * per_node / 1e6,
                "cores",
                1.0,
                "one loop; groups divide over pools",
            ),
        )
    ]


def _control(measured: Measurements, node: NodeCost, label: str) -> list[Line]:
    change_rate = CHANGES_PER_DAY / DAY_S
    cpu = sum(node.cpu_share.values()) + node.change_cpu_s * change_rate
    traffic = control_bytes(node) + node.change_bytes * change_rate
    return [
        Line("node", f"control CPU, {label}", cpu, "cores", CPU_BUDGET, "one reader per VM"),
        Line(
            "node", f"control traffic, {label}", traffic, "B/s", BYTES_BUDGET, "one reader per VM"
        ),
        *(
            Line(name, f"memory without callers, {label}", value, "MB", None, "tables in memory")
            for name, value in node.memory_mb.items()
        ),
        Line(
            "node",
            f"memory of all programs, {label}",
            sum(node.memory_mb.values()),
            "MB",
            MEMORY_BUDGET_MB,
            "tables in memory; most of it is the interpreter and libraries",
        ),
        Line(
            "node",
            f"CPU of one bundle change, {label}",
            node.change_cpu_s,
            "core s",
            None,
            "delta, decoded by msgspec",
        ),
    ]


def _store() -> list[Line]:
    reads = NODES * (1 / HEAD_POLL_S + 1 / DIRECTORY_POLL_S)
    bodies = NODES * PROGRAMS * CHANGES_PER_DAY / DAY_S
    lost_domain = NODES / FAILURE_DOMAINS
    # Two conditional writes for a member row (read before), terms of 3.6 groups on a new VM.
    terms = 3 * DATABASES / NODES
    return [
        Line("platform", "reads, steady state", reads + bodies, "1/s", STORE_READS_PER_S, "polls"),
        Line(
            "platform",
            "reads when every program polls (controllers down)",
            PROGRAMS * reads + bodies,
            "1/s",
            STORE_READS_PER_S,
            "fallback of the relay",
        ),
        Line(
            "platform",
            "writes on an ordinary day",
            (RESTARTS_PER_DAY * (1 + terms) + CHANGES_PER_DAY * 3) / DAY_S,
            "1/s",
            STORE_WRITES_PER_S,
            "rows written on change only",
        ),
        Line(
            "platform",
            "writes in the minute after a failure domain restarts",
            lost_domain * (1 + terms) / 60,
            "1/s",
            STORE_WRITES_PER_S,
            "rows written on change only",
        ),
        Line(
            "platform",
            "term reservations in the minute after a failure domain is lost",
            DATABASES / FAILURE_DOMAINS * 3 / 60,
            "1/s",
            STORE_WRITES_PER_S,
            "reserved terms, renewed afterwards",
        ),
    ]
