"""Fixtures: a pool process over stand-in targets, and a client that acts as an entry."""

import json
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import attrs
import pytest
import uuid6
from gevent.event import AsyncResult

from bench.deployment import GroupStandin, PlatformStandin
from bench.processes import Process, Processes, free_ports, wait_until
from siskindale.bundles import signing
from siskindale.context import SystemClock
from siskindale.models.bundle import Bundle, Caller, Durations, RepeatPolicy, StatementClass
from siskindale.models.settings import Settings
from siskindale.models.wire import Answer, StatementRequest
from siskindale.store.http import http_platform
from siskindale.store.interface import Condition, Write
from siskindale.transport.http import HttpClient
from siskindale.transport.mailbox import Delivery, Mailbox
from siskindale.transport.metrics import TrafficPurpose
from tests.fakes.settings import signed, vm_settings

CLASSES = (
    StatementClass("filings", repeat=RepeatPolicy.FORBIDDEN),
    StatementClass("revisions"),
    StatementClass("browsing", max_age_ms=500),
)


class PoolClient:
    """Sends requests to a pool and matches answers to them."""

    def __init__(self) -> None:
        self.mailbox = Mailbox("test/entry", free_ports(1)[0], SystemClock())
        self.url = ""
        self._pending: dict[int, AsyncResult] = {}
        self.mailbox.set_handler(Answer, self._on_answer)
        self.mailbox.start()

    def send(self, body: Any) -> AsyncResult:
        """Sends a request; the returned result will hold its answer."""
        number = self.mailbox.next_correlation_id()
        result = self._pending[number] = AsyncResult()
        assert self.mailbox.send(self.url, body, number)
        return result

    def call(self, body: Any, timeout_s: float = 10.0) -> Answer:
        """Sends a request and returns its answer."""
        return self.send(body).get(timeout=timeout_s)

    def statement(self, sql: str, access: str = "read", **fields: Any) -> StatementRequest:
        """Returns a statement request for the group `survey`."""
        values: dict[str, Any] = {
            "request_id": str(uuid6.uuid7()),
            "caller": "club",
            "group": "survey",
            "statement_class": "revisions",
            "access": access,
            "sql": sql,
            "params": (),
            "budget_ms": 5000.0,
            "bundle_version": 1,
            "digest": sql,
        }
        return StatementRequest(**(values | fields))

    def run(self, sql: str, access: str = "read", **fields: Any) -> Answer:
        """Runs one statement and returns its answer."""
        return self.call(self.statement(sql, access, **fields))

    def _on_answer(self, delivery: Delivery) -> None:
        pending = self._pending.pop(delivery.envelope.correlation_id, None)
        if pending is not None:
            pending.set(delivery.body)


@attrs.frozen
class PoolProcess:
    """A running pool process with its group."""

    process: Process
    settings: Settings
    group: GroupStandin
    client: PoolClient

    def health(self, path: str) -> tuple[int, bytes]:
        """Returns status and body of a page of the health server."""
        client = HttpClient(self.settings.pool.health, {}, TrafficPurpose.CONTROL)
        answer = client.request("GET", path, b"", 2.0).unwrap()
        client.close()
        return answer.status, answer.body

    def writable(self) -> bool:
        """Whether the pool has a confirmed primary and open connections."""
        try:
            groups = json.loads(self.health("/groups")[1])
        except Exception:
            return False
        state = groups.get(self.group.group.name)
        return bool(state and state["writable"] and all(state["connections"].values()))


def pool_bundle(group: GroupStandin, **changes: Any) -> Bundle:
    """Returns a bundle for one group and all classes of the tests."""
    names = tuple(entry.name for entry in CLASSES)
    bundle = Bundle(
        version=1,
        groups=(group.group,),
        classes=CLASSES,
        callers=(Caller("club", "ab" * 32, (group.group.name,), names, max_in_flight=2000),),
        pools_per_group=1,
        durations=Durations(),
    )
    return attrs.evolve(bundle, **changes)


def publish(platform: PlatformStandin, bundle: Bundle) -> None:
    """Signs a bundle and makes it the head."""
    content = signing.canonical_json(signed(bundle))
    services = http_platform(platform.settings("test"))
    digest = signing.digest_of(content)
    services.objects.put(digest, content).unwrap()
    head = services.tables.read("bundle_head", "head").unwrap()
    value = {"version": bundle.version, "digest": digest}
    condition = Condition("bundle_head", "head", head.version if head else 0)
    services.tables.commit([condition], [Write("bundle_head", "head", value)]).unwrap()


def write_settings(path: Path, platform: PlatformStandin) -> Settings:
    """Writes the settings file of a VM on free ports."""
    inbox, health = free_ports(2)
    settings = vm_settings()
    settings = attrs.evolve(
        settings,
        platform=platform.settings("vm0"),
        pool=attrs.evolve(settings.pool, inbox=inbox, health=health),
    )
    path.write_text(json.dumps(attrs.asdict(settings)))
    return settings


@pytest.fixture
def start_pool(
    processes: Processes, platform_standin: PlatformStandin, tmp_path: Path
) -> Iterator[Callable[..., PoolProcess]]:
    """Returns a function that starts a pool over a group and waits until it is writable."""
    client = PoolClient()

    def start(group: GroupStandin, **changes: Any) -> PoolProcess:
        publish(platform_standin, pool_bundle(group, **changes))
        file = tmp_path / "settings.json"
        settings = write_settings(file, platform_standin)
        client.url = settings.pool.inbox.inbox_url
        process = processes.start("pool", "siskindale.pool", ["--settings", str(file)])
        processes.wait_accepting("pool", settings.pool.health)
        running = PoolProcess(process, settings, group, client)
        wait_until(running.writable, 10.0, "pool writable")
        return running

    yield start
    client.mailbox.close()


@pytest.fixture
def pool(start_pool: Callable[..., PoolProcess], group: GroupStandin) -> PoolProcess:
    """Starts a pool over a running group."""
    return start_pool(group)
