"""One real VM inside a deployment of any size.

The platform's tables and the bundle have the full number of VMs and groups. Only the groups that
the one real VM serves or watches have targets; all other VMs are rows whose inboxes drop messages.
So the control cost of a node is measured at the size itself, not extrapolated.
"""

import secrets
import time
from pathlib import Path

import attrs
import gevent
import msgspec
import psutil

from bench.capacity import sinks
from bench.cluster import PROGRAMS, get
from bench.deployment import PlatformStandin, start_group, start_platform
from bench.operators import Operators, caller_hash
from bench.processes import Process, Processes, free_ports, wait_until
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
SINKS = 64
READY_S = 60.0
SETTLE_S = 10.0
CALLERS_PER_GROUP = 2
CLASSES = tuple(
    StatementClass(f"class-{index}", RepeatPolicy.FORBIDDEN if index == 0 else RepeatPolicy.ALLOWED)
    for index in range(6)
)


@attrs.frozen
class NodeCost:
    """Cost of one VM's programs: shares of a core, MB of memory, bytes a second by purpose.

    `change_cpu_s` and `change_bytes` are the cost of one bundle change over all three programs.
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
    """Runs the VM without callers, first without and then with bundle changes."""
    with Processes(directory) as processes:
        durations = probing_every(probe_interval_ms)
        node = Node(vms, groups, processes, directory, durations)
        node.start()
        quiet = node.observe(seconds, 0)
        changing = node.observe(seconds, changes)
        return NodeCost(
            vms=vms,
            groups=groups,
            watched_groups=len(node.real_groups),
            cpu_share={name: cpu / seconds for name, cpu in quiet.cpu_s.items()},
            memory_mb=node.memory_mb(),
            bytes_per_s={name: count / seconds for name, count in quiet.traffic.items()},
            change_cpu_s=(sum(changing.cpu_s.values()) - sum(quiet.cpu_s.values())) / changes,
            change_bytes=(network(changing.traffic) - network(quiet.traffic)) / changes,
        )


def probing_every(interval_ms: int) -> Durations:
    """Returns durations whose loss time fits the interval: four probes, as by default."""
    return Durations(
        probe_interval_ms=interval_ms,
        probe_timeout_ms=2 * interval_ms,
        loss_after_ms=4 * interval_ms,
        promotion_interval_ms=max(5000, 8 * interval_ms),
    )


def network(traffic: dict[str, float]) -> float:
    """Returns the bytes that leave or reach the VM for control."""
    return sum(traffic.get(name, 0.0) for name in ("platform", "target-control", "control"))


@attrs.frozen
class Observation:
    """CPU seconds by program and bytes by purpose over an interval."""

    cpu_s: dict[str, float]
    traffic: dict[str, float]


class Node:
    """The real VM with its surroundings."""

    def __init__(
        self, vms: int, groups: int, processes: Processes, directory: Path, durations: Durations
    ) -> None:
        self._durations = durations
        self._processes = processes
        self._directory = directory
        self._platform: PlatformStandin = start_platform(processes)
        self._operators = Operators(directory, self._platform.settings("operators"))
        self._settings = self._real_settings()
        self._members = [self._real_member(), *self._seeded(vms - 1)]
        self._bundle = self._make_bundle(groups)
        self._programs: dict[str, Process] = {}

    @property
    def real_groups(self) -> list[str]:
        """Groups for which the VM is among the pools or the controllers."""
        return [group.name for group in self._bundle.groups if self._is_watched(group.name)]

    def start(self) -> None:
        """Fills the platform, rolls the bundle and starts the three programs."""
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
        """Lets the programs run, with evenly spaced bundle changes."""
        cpu, traffic = self._cpu(), self._traffic()
        started = time.monotonic()
        for number in range(changes):
            self._change()
            due = started + seconds * (number + 1) / (changes + 1)
            gevent.sleep(max(0.0, due - time.monotonic()))
        gevent.sleep(max(0.0, started + seconds - time.monotonic()))
        cpu_after, traffic_after = self._cpu(), self._traffic()
        return Observation(
            {name: cpu_after[name] - cpu[name] for name in cpu},
            {name: traffic_after[name] - traffic.get(name, 0.0) for name in traffic_after},
        )

    def memory_mb(self) -> dict[str, float]:
        """Returns the resident memory of each program."""
        return {
            name: psutil.Process(process.pid).memory_info().rss / 2**20
            for name, process in self._programs.items()
        }

    def _change(self) -> None:
        classes = self._bundle.classes
        aged = attrs.evolve(classes[-1], max_age_ms=1000 + self._bundle.version)
        changed = attrs.evolve(
            self._bundle, version=self._bundle.version + 1, classes=(*classes[:-1], aged)
        )
        self._bundle = self._operators.roll(changed)

    def _cpu(self) -> dict[str, float]:
        times = {n: psutil.Process(p.pid).cpu_times() for n, p in self._programs.items()}
        return {name: used.user + used.system for name, used in times.items()}

    def _traffic(self) -> dict[str, float]:
        total: dict[str, float] = {}
        for program in PROGRAMS:
            body = get(self._health(program), "/metrics") or b""
            for line in body.decode().splitlines():
                if line.startswith("siskindale_traffic_bytes_total{"):
                    purpose = line.split('purpose="')[1].split('"')[0]
                    total[purpose] = total.get(purpose, 0.0) + float(line.rsplit(" ", 1)[1])
        return total

    def _health(self, program: str) -> Address:
        return getattr(self._settings, program).health

    def _wait_ready(self, program: str) -> None:
        address = self._health(program)
        wait_until(lambda: get(address, "/readyz") is not None, READY_S, f"{program} ready")

    def _real_settings(self) -> Settings:
        ports = free_ports(7)
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
        s = self._settings
        inboxes = (s.entry.inbox, s.pool.inbox, s.controller.inbox)
        return Member(REAL_VM, DOMAINS[0], "default", *inboxes)

    def _seeded(self, count: int) -> list[Member]:
        ports = [address.port for address in free_ports(SINKS, sinks.HOST)]
        self._processes.start("sinks", "bench.capacity.sinks", [str(port) for port in ports])
        inboxes = sinks.addresses(ports)
        self._processes.wait_accepting("sinks", inboxes[-1])
        return [
            Member(
                f"vm-{index:04d}",
                DOMAINS[index % len(DOMAINS)],
                "default",
                *(inboxes[(3 * index + offset) % SINKS] for offset in range(3)),
            )
            for index in range(1, count + 1)
        ]

    def _make_bundle(self, count: int) -> Bundle:
        names = [f"database-{index:04d}" for index in range(count)]
        groups = tuple(
            self._real_group(name) if self._is_watched(name) else _named_group(name, index)
            for index, name in enumerate(names)
        )
        callers = tuple(
            Caller(f"caller-{i:04d}", caller_hash(str(i)), (names[i % count],), ("class-1",))
            for i in range(CALLERS_PER_GROUP * count)
        )
        return Bundle(1, groups, CLASSES, callers, durations=self._durations)

    def _is_watched(self, group: str) -> bool:
        first = rank_members(group, self._members)[:CONTROLLERS_PER_GROUP]
        return any(member.vm == REAL_VM for member in first)

    def _real_group(self, name: str) -> Group:
        return start_group(self._processes, self._directory, name, DOMAINS[:3]).group


def _named_group(name: str, index: int) -> Group:
    """Returns a group whose targets nobody reaches: each has an address of its own, all closed."""
    host = f"127.1.{index // 250}.{index % 250 + 1}"
    targets = (
        Target(f"{name}-{letter}", domain, Address(host, 2 * n + 1), Address(host, 2 * n + 2))
        for n, (letter, domain) in enumerate(zip("abc", DOMAINS, strict=False))
    )
    return Group(name, tuple(targets))
