"""Control cost of one real VM in a simulated deployment of any size.

The platform's tables and the bundle have the full number of VMs and groups. Only the groups that
the one real VM serves or watches have targets; all other VMs are rows whose inboxes drop messages.
The control cost of a node is therefore measured at the full size and not extrapolated.
"""

import secrets
import time
from pathlib import Path

import attrs
import gevent
import msgspec
import psutil

from bench.capacity import sinks
from bench.cluster import PROGRAMS, get_body
from bench.deployment import PlatformStandin, start_group, start_platform
from bench.operators import Operators, caller_hash
from bench.processes import Process, Processes, free_addresses, wait_until
from siskindale.membership.assignment import CONTROLLERS_PER_GROUP
from siskindale.membership.directory import MEMBERS_TABLE, member_to_row
from siskindale.membership.rendezvous import rank_members
from siskindale.models.bundle import (
    Bundle,
    Caller,
    Durations,
    Group,
    RepeatPolicy,
    StatementClass,
    Target,
)
from siskindale.models.member import Member
from siskindale.models.settings import (
    Address,
    ControllerSettings,
    EntrySettings,
    PoolSettings,
    SessionKey,
    Settings,
)
from siskindale.store.http import http_platform
from siskindale.store.interface import Write

REAL_VM = "vm-0000"
DOMAINS = tuple(f"domain-{index}" for index in range(6))
SINK_COUNT = 64
READY_TIMEOUT_S = 60.0
SETTLE_S = 10.0
CALLERS_PER_GROUP = 2
CLASSES = tuple(
    StatementClass(f"class-{index}", RepeatPolicy.FORBIDDEN if index == 0 else RepeatPolicy.ALLOWED)
    for index in range(6)
)


@attrs.frozen
class NodeCost:
    """Cost of one VM's programs: CPU in cores and memory in MB by program, bytes/s by purpose.

    `change_cpu_s` and `change_bytes` are the cost of one bundle change in all three programs.
    """

    vms: int
    groups: int
    watched_groups: int
    cpu_share: dict[str, float]
    memory_mb: dict[str, float]
    bytes_per_s: dict[str, float]
    change_cpu_s: float
    change_bytes: float


def measure(
    vms: int,
    groups: int,
    seconds: float,
    changes: int,
    directory: Path,
    probe_interval_ms: int = 150,
) -> NodeCost:
    """Measures the VM without callers, first without and then with bundle changes."""
    with Processes(directory) as processes:
        durations = durations_for_probe_interval(probe_interval_ms)
        node = Node(vms, groups, processes, directory, durations)
        node.start()
        without_changes = node.observe(seconds, 0)
        with_changes = node.observe(seconds, changes)
        return NodeCost(
            vms=vms,
            groups=groups,
            watched_groups=len(node.real_groups),
            cpu_share={name: cpu / seconds for name, cpu in without_changes.cpu_s.items()},
            memory_mb=node.memory_mb(),
            bytes_per_s={name: count / seconds for name, count in without_changes.traffic.items()},
            change_cpu_s=(sum(with_changes.cpu_s.values()) - sum(without_changes.cpu_s.values()))
            / changes,
            change_bytes=(
                control_bytes(with_changes.traffic) - control_bytes(without_changes.traffic)
            )
            / changes,
        )


def durations_for_probe_interval(interval_ms: int) -> Durations:
    """Returns durations that fit the probe interval; a loss takes four probes, as by default."""
    return Durations(
        probe_interval_ms=interval_ms,
        probe_timeout_ms=2 * interval_ms,
        loss_after_ms=4 * interval_ms,
        promotion_interval_ms=max(5000, 8 * interval_ms),
    )


def control_bytes(traffic: dict[str, float]) -> float:
    """Returns the bytes of control traffic to and from the VM."""
    return sum(traffic.get(name, 0.0) for name in ("platform", "target-control", "control"))


@attrs.frozen
class Observation:
    """CPU seconds by program and bytes by purpose over an interval."""

    cpu_s: dict[str, float]
    traffic: dict[str, float]


class Node:
    """The real VM and the deployment around it."""

    def __init__(
        self, vms: int, groups: int, processes: Processes, directory: Path, durations: Durations
    ) -> None:
        self._durations = durations
        self._processes = processes
        self._directory = directory
        self._platform: PlatformStandin = start_platform(processes)
        self._operators = Operators(directory, self._platform.settings("operators"))
        self._settings = self._real_settings()
        self._members = [self._real_member(), *self._simulated_members(vms - 1)]
        self._bundle = self._make_bundle(groups)
        self._programs: dict[str, Process] = {}

    @property
    def real_groups(self) -> list[str]:
        """Groups that the VM serves as a pool or watches as a controller."""
        return [group.name for group in self._bundle.groups if self._is_watched(group.name)]

    def start(self) -> None:
        """Writes the members to the platform, rolls the bundle and starts the three programs."""
        tables = http_platform(self._platform.settings("seed")).tables
        rows = [Write(MEMBERS_TABLE, m.vm, member_to_row(m)) for m in self._members[1:]]
        tables.commit([], rows).unwrap()
        self._platform.set_live([m.vm for m in self._members])
        self._operators.roll(self._bundle)
        file = self._directory / "node.json"
        file.write_bytes(msgspec.json.encode(self._settings))
        for program in PROGRAMS:
            module = f"siskindale.{program}"
            process = self._processes.start(program, module, ["--settings", str(file)])
            self._programs[program] = process
        for program in PROGRAMS:
            self._wait_ready(program)
        gevent.sleep(SETTLE_S)

    def observe(self, seconds: float, changes: int) -> Observation:
        """Observes the programs for a time with evenly spaced bundle changes."""
        cpu_before, traffic_before = self._cpu_seconds(), self._traffic_bytes()
        started_at = time.monotonic()
        for number in range(changes):
            self._roll_change()
            due_at = started_at + seconds * (number + 1) / (changes + 1)
            gevent.sleep(max(0.0, due_at - time.monotonic()))
        gevent.sleep(max(0.0, started_at + seconds - time.monotonic()))
        cpu_after, traffic_after = self._cpu_seconds(), self._traffic_bytes()
        return Observation(
            {name: cpu_after[name] - cpu_before[name] for name in cpu_before},
            {name: traffic_after[name] - traffic_before.get(name, 0.0) for name in traffic_after},
        )

    def memory_mb(self) -> dict[str, float]:
        """Returns the resident memory of each program."""
        return {
            name: psutil.Process(process.pid).memory_info().rss / 2**20
            for name, process in self._programs.items()
        }

    def _roll_change(self) -> None:
        classes = self._bundle.classes
        changed_class = attrs.evolve(classes[-1], max_age_ms=1000 + self._bundle.version)
        changed_bundle = attrs.evolve(
            self._bundle, version=self._bundle.version + 1, classes=(*classes[:-1], changed_class)
        )
        self._bundle = self._operators.roll(changed_bundle)

    def _cpu_seconds(self) -> dict[str, float]:
        times = {n: psutil.Process(p.pid).cpu_times() for n, p in self._programs.items()}
        return {name: used.user + used.system for name, used in times.items()}

    def _traffic_bytes(self) -> dict[str, float]:
        total: dict[str, float] = {}
        for program in PROGRAMS:
            body = get_body(self._health_address(program), "/metrics") or b""
            for line in body.decode().splitlines():
                if line.startswith("siskindale_traffic_bytes_total{"):
                    purpose = line.split('purpose="')[1].split('"')[0]
                    total[purpose] = total.get(purpose, 0.0) + float(line.rsplit(" ", 1)[1])
        return total

    def _health_address(self, program: str) -> Address:
        return getattr(self._settings, program).health

    def _wait_ready(self, program: str) -> None:
        address = self._health_address(program)
        wait_until(
            lambda: get_body(address, "/readyz") is not None, READY_TIMEOUT_S, f"{program} ready"
        )

    def _real_settings(self) -> Settings:
        ports = free_addresses(7)
        return Settings(
            vm=REAL_VM,
            failure_domain=DOMAINS[0],
            platform=self._platform.settings(REAL_VM),
            session_keys=(SessionKey("k1", secrets.token_hex(32)),),
            trust=self._operators.trust,
            entry=EntrySettings(ports[0], ports[1], ports[2]),
            pool=PoolSettings(ports[3], ports[4]),
            controller=ControllerSettings(ports[5], ports[6]),
        )

    def _real_member(self) -> Member:
        settings = self._settings
        inboxes = (settings.entry.inbox, settings.pool.inbox, settings.controller.inbox)
        return Member(REAL_VM, DOMAINS[0], "default", *inboxes)

    def _simulated_members(self, count: int) -> list[Member]:
        ports = [address.port for address in free_addresses(SINK_COUNT, sinks.HOST)]
        self._processes.start("sinks", "bench.capacity.sinks", [str(port) for port in ports])
        inboxes = sinks.sink_addresses(ports)
        self._processes.wait_accepting("sinks", inboxes[-1])
        return [
            Member(
                f"vm-{index:04d}",
                DOMAINS[index % len(DOMAINS)],
                "default",
                *(inboxes[(3 * index + offset) % SINK_COUNT] for offset in range(3)),
            )
            for index in range(1, count + 1)
        ]

    def _make_bundle(self, count: int) -> Bundle:
        names = [f"database-{index:04d}" for index in range(count)]
        groups = tuple(
            self._real_group(name) if self._is_watched(name) else _unreachable_group(name, index)
            for index, name in enumerate(names)
        )
        callers = tuple(
            Caller(f"caller-{i:04d}", caller_hash(str(i)), (names[i % count],), ("class-1",))
            for i in range(CALLERS_PER_GROUP * count)
        )
        return Bundle(1, groups, CLASSES, callers, durations=self._durations)

    def _is_watched(self, group: str) -> bool:
        watchers = rank_members(group, self._members)[:CONTROLLERS_PER_GROUP]
        return any(member.vm == REAL_VM for member in watchers)

    def _real_group(self, name: str) -> Group:
        return start_group(self._processes, self._directory, name, DOMAINS[:3]).group


def _unreachable_group(name: str, index: int) -> Group:
    """Returns a group of targets with distinct addresses on which nothing listens."""
    host = f"127.1.{index // 250}.{index % 250 + 1}"
    targets = (
        Target(f"{name}-{letter}", domain, Address(host, 2 * n + 1), Address(host, 2 * n + 2))
        for n, (letter, domain) in enumerate(zip("abc", DOMAINS, strict=False))
    )
    return Group(name, tuple(targets))
