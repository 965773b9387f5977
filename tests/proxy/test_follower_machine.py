"""Followers of a store that is restored, loses its history and is out of reach, in random order."""

import json
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import attrs
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from hypothesis.strategies import integers, sampled_from
from returns.result import Failure, Result, Success

from siskindale.models.address import Address
from siskindale.platform.store import PlatformStore
from siskindale.proxy.followers import TableFollower
from siskindale.store.versions import ERA_HEADER
from siskindale.transport.http import HttpFailure, HttpResponse
from standins.deployment.store import PlatformStandin
from standins.platform.services import Tables

TABLES = ("first", "second")
KEYS = ("a", "b", "c")
CATCH_UP_CALLS = 3
MAX_EXAMPLES = 60
STEPS_PER_EXAMPLE = 30


@attrs.define
class InProcessClient:
    """Sends requests to the stand-in without a socket."""

    platform: PlatformStandin
    reachable: bool = True

    def request(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: dict[str, str] | None = None,
    ) -> Result[HttpResponse, HttpFailure]:
        """Returns the response of the stand-in, or a failure while it is out of reach."""
        if not self.reachable:
            return Failure(HttpFailure(False, "out of reach"))
        url = urlsplit(path)
        query = dict(parse_qsl(url.query))
        status, response = self.platform.handle_store_call(url.path, query, body)
        era = {ERA_HEADER: str(self.platform.era)}
        return Success(HttpResponse(status, json.dumps(response).encode(), era))


class View:
    """What one VM knows of a table by following it."""

    def __init__(self, store: PlatformStore, table: str) -> None:
        self.follower = TableFollower(store, table, wait_s=0.0)
        self.rows: dict[str, Any] = {}
        self.version = 0

    def follow(self) -> bool:
        """Applies the next changes; returns whether the store answered."""
        answer = self.follower.next_changes()
        if isinstance(answer, Failure):
            return False
        changes, snapshot = answer.unwrap()
        assert changes.version >= self.version, "the version went back"
        self.version = changes.version
        if snapshot:
            self.rows.clear()
        for row in changes.rows:
            if row.deleted:
                self.rows.pop(row.key, None)
            else:
                self.rows[row.key] = row.value
        return True


class FollowerMachine(RuleBasedStateMachine):
    """Two VMs that follow two tables each; every VM has one client of the store."""

    @initialize()
    def start(self) -> None:
        """Starts the store and both VMs."""
        self.platform = PlatformStandin(Address("127.0.0.1", 0), lambda _group, _target: True)
        self.backup: Tables = self.platform.backup()
        self.written = 0
        self.clients = [InProcessClient(self.platform) for _ in range(2)]
        self.views: list[dict[str, View]] = []
        for client in self.clients:
            store = PlatformStore(Address("127.0.0.1", 0))
            store._client = client  # type: ignore[assignment]
            self.views.append({table: View(store, table) for table in TABLES})

    @rule(table=sampled_from(TABLES), key=sampled_from(KEYS), count=integers(1, 3))
    def write(self, table: str, key: str, count: int) -> None:
        """Commits new values, as many as may have been lost by a restoration."""
        for _ in range(count):
            self.written += 1
            self.platform.put(table, key, {"n": self.written})

    @rule(table=sampled_from(TABLES), key=sampled_from(KEYS))
    def remove(self, table: str, key: str) -> None:
        """Removes a row."""
        self.platform.put(table, key, None)

    @rule()
    def back_up(self) -> None:
        """Takes a copy of the store."""
        self.backup = self.platform.backup()

    @rule(table=sampled_from(TABLES), key=sampled_from(KEYS), rewritten=integers(0, 4))
    def restore(self, table: str, key: str, rewritten: int) -> None:
        """Restores the store from the last copy; others write again before any VM asks."""
        self.platform.restore(self.backup)
        for _ in range(rewritten):
            self.written += 1
            self.platform.put(table, key, {"n": self.written})

    @rule(lost=sampled_from([True, False]))
    def lose_history(self, lost: bool) -> None:
        """Makes the store refuse all watches, or ends that."""
        self.platform.faults.history_lost = lost

    @rule(vm=integers(0, 1), reachable=sampled_from([True, False]))
    def cut(self, vm: int, reachable: bool) -> None:
        """Cuts a VM off from the store, or ends that."""
        self.clients[vm].reachable = reachable

    @rule(vm=integers(0, 1), table=sampled_from(TABLES))
    def follow(self, vm: int, table: str) -> None:
        """Lets a VM ask for changes once."""
        self.views[vm][table].follow()

    @invariant()
    def views_are_right_after_a_call(self) -> None:
        """Guards against a VM that has followed the store and still lacks or keeps something."""
        if not hasattr(self, "platform"):
            return
        for client, views in zip(self.clients, self.views, strict=True):
            if client.reachable:
                for table, view in views.items():
                    assert any(view.follow() for _ in range(CATCH_UP_CALLS))
                    assert view.rows == self.stored(table)

    def stored(self, table: str) -> dict[str, Any]:
        """Returns the rows of a table as the store holds them."""
        rows = [self.platform.row(table, key) for key in KEYS]
        return {row.key: row.value for row in rows if row is not None}


TestFollowers = FollowerMachine.TestCase
TestFollowers.settings = settings(max_examples=MAX_EXAMPLES, stateful_step_count=STEPS_PER_EXAMPLE)
