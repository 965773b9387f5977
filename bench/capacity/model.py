"""Projects measured figures to the planned size."""

from pathlib import Path
from statistics import linear_regression

import attrs
import msgspec

from bench.capacity.node import NodeCost
from bench.speed import Speed

# Planned size in two years.
NODES = 770
DATABASES = 920
CONNECTIONS = 5_400_000
STATEMENTS_PER_S = 1_800_000
CHANGES_PER_DAY = 1_200
RESTARTS_PER_DAY = 430
FAILURE_DOMAINS = 6
DAY_S = 86_400

# Budget of a node for control work.
CPU_BUDGET_CORES = 0.027
MEMORY_BUDGET_MB = 64.0
BUDGET_BYTES_PER_S = 8_000.0

# Load that the platform's table service can handle.
STORE_READ_LIMIT_PER_S = 2_000
STORE_WRITE_LIMIT_PER_S = 300

# Durations from docs/OPERATIONS.md for this size and from the code.
HEAD_POLL_INTERVAL_S = 2.0
DIRECTORY_POLL_INTERVAL_S = 2.0
PROGRAMS_PER_NODE = 3


@attrs.frozen
class Measurements:
    """Measured figures; `idle_callers` holds the entry's memory in KiB by number of connections."""

    machine: str
    commit: str
    idle_callers: dict[int, float]
    speed: Speed
    nodes: list[NodeCost]
    changing_probe_interval: list[NodeCost]


@attrs.frozen
class Line:
    """One line of the table: a quantity at the planned size and its limit."""

    role: str
    quantity: str
    value: float
    unit: str
    limit: float | None
    mechanism: str

    @property
    def verdict(self) -> str:
        """Says whether the value is within its limit, empty without a limit."""
        if self.limit is None:
            return ""
        return "within" if self.value <= self.limit else f"short by {self.value / self.limit:.1f}x"


def read_measurements(path: Path) -> Measurements:
    """Reads stored measurements from a file."""
    return msgspec.json.decode(path.read_bytes(), type=Measurements)


def slope(points: dict[int, float]) -> float:
    """Returns the least-squares slope of values by size."""
    return linear_regression(list(points), list(points.values())).slope


def control_bytes_per_s(node: NodeCost) -> float:
    """Returns the control traffic of a node in bytes per second, without bundle changes."""
    return sum(node.bytes_per_s.get(k, 0.0) for k in ("platform", "target-control", "control"))


def table_lines(measured: Measurements) -> list[Line]:
    """Returns all lines of the table."""
    return [
        *_caller_lines(measured),
        *_statement_lines(measured),
        *_control_lines(measured, measured.nodes[-1], "probes every 150 ms"),
        *_control_lines(measured, measured.changing_probe_interval[-1], "probes every 1.25 s"),
        *_store_lines(),
    ]


def _caller_lines(measured: Measurements) -> list[Line]:
    per_node = CONNECTIONS / NODES
    memory = slope(measured.idle_callers) * per_node / 1024
    return [
        Line("entry", "caller connections", per_node, "per node", None, "one greenlet each"),
        Line("entry", "memory of idle callers", memory, "MB", None, "one greenlet each"),
    ]


def _statement_lines(measured: Measurements) -> list[Line]:
    per_node = STATEMENTS_PER_S / NODES
    most_callers = max(row.callers for row in measured.speed.throughput)
    rows = [row for row in measured.speed.throughput if row.callers == most_callers]
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


def _control_lines(measured: Measurements, node: NodeCost, label: str) -> list[Line]:
    change_rate = CHANGES_PER_DAY / DAY_S
    cpu = sum(node.cpu_share.values()) + node.change_cpu_s * change_rate
    traffic = control_bytes_per_s(node) + node.change_bytes * change_rate
    return [
        Line("node", f"control CPU, {label}", cpu, "cores", CPU_BUDGET_CORES, "one reader per VM"),
        Line(
            "node",
            f"control traffic, {label}",
            traffic,
            "B/s",
            BUDGET_BYTES_PER_S,
            "one reader per VM",
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


def _store_lines() -> list[Line]:
    reads = NODES * (1 / HEAD_POLL_INTERVAL_S + 1 / DIRECTORY_POLL_INTERVAL_S)
    bodies = NODES * PROGRAMS_PER_NODE * CHANGES_PER_DAY / DAY_S
    lost_domain = NODES / FAILURE_DOMAINS
    # Two conditional writes for a member row (read before), terms of 3.6 groups on a new VM.
    terms = 3 * DATABASES / NODES
    return [
        Line(
            "platform",
            "reads, steady state",
            reads + bodies,
            "1/s",
            STORE_READ_LIMIT_PER_S,
            "polls",
        ),
        Line(
            "platform",
            "reads when every program polls (controllers down)",
            PROGRAMS_PER_NODE * reads + bodies,
            "1/s",
            STORE_READ_LIMIT_PER_S,
            "fallback of the relay",
        ),
        Line(
            "platform",
            "writes on an ordinary day",
            (RESTARTS_PER_DAY * (1 + terms) + CHANGES_PER_DAY * 3) / DAY_S,
            "1/s",
            STORE_WRITE_LIMIT_PER_S,
            "rows written on change only",
        ),
        Line(
            "platform",
            "writes in the minute after a failure domain restarts",
            lost_domain * (1 + terms) / 60,
            "1/s",
            STORE_WRITE_LIMIT_PER_S,
            "rows written on change only",
        ),
        Line(
            "platform",
            "term reservations in the minute after a failure domain is lost",
            DATABASES / FAILURE_DOMAINS * 3 / 60,
            "1/s",
            STORE_WRITE_LIMIT_PER_S,
            "reserved terms, renewed afterwards",
        ),
    ]
