"""Runs an entry and fake pools with configurable faults in one process, over real sockets."""

import hashlib
import http.client
import io
import json
from collections.abc import Callable
from typing import Any

import attrs
import gevent
from gevent import socket

from bench.processes import free_ports
from siskindale import transactions
from siskindale.context import Environment
from siskindale.entry.program import EntryService
from siskindale.membership.directory import Directory, member_from_settings, member_to_row
from siskindale.membership.rendezvous import rank_members
from siskindale.models.bundle import Bundle, Caller, RepeatPolicy, StatementClass
from siskindale.models.group import LogPosition
from siskindale.models.outcomes import Outcome, Refusal, RefusalKind
from siskindale.models.settings import Settings
from siskindale.models.wire import (
    AliveRequest,
    Answer,
    BeginRequest,
    FinishRequest,
    StatementRequest,
    StatementResult,
    TransactionStatement,
)
from siskindale.runtime.health import create_health_server
from siskindale.runtime.program import (
    ProgramComponents,
    ProgramKind,
    answer_alive_request,
    collect_reports,
    not_ready_reasons,
)
from siskindale.runtime.shutdown import Shutdown
from siskindale.store.interface import LiveView, Write
from siskindale.transactions import TransactionId
from siskindale.transport.mailbox import Delivery, Mailbox
from tests.fakes.platform import FakePlatform
from tests.fakes.settings import bundle, vm_settings

TOKEN = "club-token"
IDEMPOTENCY_KEY = "01932c07-2b41-7a3e-8d21-6f0a5b1c9e01"
CLASSES = (
    StatementClass("filings", RepeatPolicy.FORBIDDEN),
    StatementClass("revisions"),
    StatementClass("browsing", max_age_ms=2_000),
)

Behaviour = Callable[["FakePool", Delivery], None]


def club_caller(**changes: Any) -> Caller:
    """Returns the caller that the tests use; `changes` replace its fields."""
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    names = tuple(c.name for c in CLASSES)
    return attrs.evolve(Caller("club", digest, ("survey",), names), **changes)


class StaticBundles:
    """Bundle source whose bundle is set by the test."""

    def __init__(self, current: Bundle | None) -> None:
        self.current = current
        self.degraded = False
        self.digest = "d" * 64
        self._listeners: list[Callable[[Bundle], None]] = []

    @property
    def ready(self) -> bool:
        """Whether there is a bundle."""
        return self.current is not None

    def start(self) -> None:
        """Does nothing."""

    def subscribe(self, callback: Callable[[Bundle], None]) -> None:
        """Calls `callback` with the bundle and each later one."""
        self._listeners.append(callback)
        if self.current is not None:
            callback(self.current)

    def adopt(self, new: Bundle) -> None:
        """Replaces the bundle and notifies the subscribers."""
        self.current = new
        for listener in self._listeners:
            listener(new)


class FakePool:
    """Pool of a VM that records its requests and answers them by `behaviour`."""

    def __init__(self, settings: Settings, env: Environment) -> None:
        self.vm = settings.vm
        self.settings = settings
        self.behaviour: Behaviour = answer_immediately
        self.dead = False
        self.received_requests: list[Any] = []
        self.mailbox = Mailbox(f"{settings.vm}/pool", settings.pool.inbox, env.clock)
        for kind in (StatementRequest, BeginRequest, TransactionStatement, FinishRequest):
            self.mailbox.set_handler(kind, self._on_request)
        self.mailbox.set_handler(AliveRequest, self._on_alive)
        self.mailbox.start()

    def answer(self, delivery: Delivery, **changes: Any) -> None:
        """Answers a request; `changes` replace fields of the default answer."""
        plain = Answer(
            delivery.body.request_id,
            Outcome.DONE,
            result=StatementResult(("n",), ((1,),), 1),
            position=LogPosition(1, len(self.received_requests)),
            target="survey-0",
            role="primary",
        )
        if isinstance(delivery.body, BeginRequest):
            found = TransactionId(delivery.body.group, self.vm, self.mailbox.boot, 1)
            text = transactions.encode(self.settings.session_keys, found)
            plain = attrs.evolve(plain, transaction=text, result=None)
        self.mailbox.reply(delivery, attrs.evolve(plain, **changes))

    def _on_request(self, delivery: Delivery) -> None:
        if not self.dead:
            self.received_requests.append(delivery.body)
            self.behaviour(self, delivery)

    def _on_alive(self, delivery: Delivery) -> None:
        if not self.dead:
            answer_alive_request(self.mailbox, delivery)


def answer_immediately(pool: FakePool, delivery: Delivery) -> None:
    """Answers immediately."""
    pool.answer(delivery)


def never_answer(pool: FakePool, delivery: Delivery) -> None:
    """Sends no answer, as if it were lost; the pool still answers probes."""


def answer_after(seconds: float) -> Behaviour:
    """Answers after a delay."""

    def behave(pool: FakePool, delivery: Delivery) -> None:
        gevent.spawn_later(seconds, pool.answer, delivery)

    return behave


def refuse_with(kind: RefusalKind, outcome: Outcome = Outcome.NOT_RUN) -> Behaviour:
    """Refuses every request."""

    def behave(pool: FakePool, delivery: Delivery) -> None:
        pool.answer(delivery, outcome=outcome, result=None, refusal=Refusal(kind, "refused"))

    return behave


@attrs.frozen
class Response:
    """HTTP response to a caller."""

    status: int
    headers: dict[str, str]
    content: bytes

    @property
    def json(self) -> Any:
        """Decoded body."""
        return json.loads(self.content)

    @property
    def problem(self) -> str:
        """Last part of the `type` of the problem document."""
        assert self.headers["content-type"] == "application/problem+json"
        assert self.json["status"] == self.status
        return self.json["type"].removeprefix("urn:siskindale:problem:")


class Client:
    """HTTP client of a caller, with one persistent connection."""

    def __init__(self, address: Any, token: str | None = TOKEN) -> None:
        self.address = address
        self.headers = {"Authorization": f"Bearer {token}"} if token else {}
        self.connection = http.client.HTTPConnection(address.host, address.port)

    def connect(self) -> None:
        """Opens the connection unless it is open."""
        if self.connection.sock is None:
            self.connection.sock = socket.create_connection((self.address.host, self.address.port))

    def request(self, method: str, path: str, body: Any = None, **headers: str) -> Response:
        """Sends a request; `_` in the name of a header becomes `-`."""
        self.connect()
        content = body if isinstance(body, bytes | None) else json.dumps(body).encode()
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        self.connection.request(method, path, content, {**self.headers, **named})
        response = self.connection.getresponse()
        found = {name.lower(): value for name, value in response.getheaders()}
        return Response(response.status, found, response.read())

    def statement(self, access: str = "read", name: str = "browsing", **options: Any) -> Response:
        """Runs a statement; capitalized options are headers, the others are fields of the body."""
        headers = {k: v for k, v in options.items() if k[0].isupper()}
        fields = {k: v for k, v in options.items() if not k[0].isupper()}
        body = {"sql": "select 1", "access": access, "class": name} | fields
        return self.request("POST", "/v1/databases/survey/statements", body, **headers)


class Deployment:
    """An entry on the first VM and fake pools on all VMs."""

    def __init__(self, vms: int = 3, **entry_changes: Any) -> None:
        self.env = Environment(stderr=io.StringIO(), program="siskindale-entry")
        self.settings = [
            with_free_ports(vm_settings(index), **entry_changes) for index in range(vms)
        ]
        platform = FakePlatform()
        for settings in self.settings:
            row = member_to_row(member_from_settings(settings))
            platform.commit([], [Write("members", settings.vm, row)])
        platform.live = LiveView(frozenset(s.vm for s in self.settings), frozenset())
        own = self.settings[0]
        self.directory = Directory(own, platform.as_platform())
        self.directory.refresh()
        self.bundles = StaticBundles(bundle(classes=CLASSES, callers=(club_caller(),)))
        mailbox = Mailbox(f"{own.vm}/entry", own.entry.inbox, self.env.clock)
        self.components = ProgramComponents(
            ProgramKind.ENTRY,
            own,
            self.env,
            platform.as_platform(),
            self.directory,
            mailbox,
            self.bundles,
            Shutdown(),
        )
        self.service = EntryService(self.components)
        self.health = create_health_server(
            own.entry.health,
            lambda: not_ready_reasons(self.components, self.service),
            reports=collect_reports(self.components, self.service),
        )
        self.pools = {s.vm: FakePool(s, self.env) for s in self.settings}
        mailbox.start()
        self.service.start()
        self.health.start()

    @property
    def ranked_pools(self) -> list[FakePool]:
        """Pools in the rank order of the group."""
        return [self.pools[m.vm] for m in rank_members("survey", self.directory.members)]

    @property
    def received_requests(self) -> list[Any]:
        """Requests received by all pools."""
        return [body for pool in self.pools.values() for body in pool.received_requests]

    def client(self, token: str | None = TOKEN) -> Client:
        """Returns a new client of the entry."""
        return Client(self.settings[0].entry.listen, token)

    def get_health_page(self, path: str) -> Response:
        """Gets a page of the health server."""
        return Client(self.settings[0].entry.health).request("GET", path)

    def set_behaviour(self, behaviour: Behaviour) -> None:
        """Sets the behaviour of all pools."""
        for pool in self.pools.values():
            pool.behaviour = behaviour

    def close(self) -> None:
        """Closes all sockets."""
        self.service.server.stop()
        self.health.stop()
        self.components.mailbox.close()
        for pool in self.pools.values():
            pool.mailbox.close()


def with_free_ports(settings: Settings, **entry_changes: Any) -> Settings:
    """Returns the settings with entry and pool on free ports."""
    listen, inbox, health, pool = free_ports(4)
    entry = attrs.evolve(settings.entry, listen=listen, inbox=inbox, health=health, **entry_changes)
    return attrs.evolve(settings, entry=entry, pool=attrs.evolve(settings.pool, inbox=pool))
