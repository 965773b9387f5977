"""Clients of a soak: they use sessions until these end, and come back through a load balancer."""

import itertools
import socket as system_socket
import struct
import time
from random import Random

import gevent

from bench.proxy_deployment import Client, Deployment, Proxy
from bench.soak.history import Record, Request

PROBE_INTERVAL_S = 1.0
MISSES_UNTIL_OUT = 2
PAUSE_S = 0.03
RECONNECT_S = 0.02
OPERATIONS_PER_SESSION = 60
RESET_SHARE = 0.1
LEAVE_SHARE = 0.05
READ_SHARE = 0.6
TRANSACTION_SHARE = 0.15


class Balancer:
    """Sends new sessions to the VMs that are ready, or to all if these are less than half."""

    def __init__(self, proxies: dict[str, Proxy], random: Random) -> None:
        self._proxies = proxies
        self._random = random
        self._misses: dict[str, int] = {}

    def run(self) -> None:
        """Probes each VM once a second."""
        while True:
            for proxy in list(self._proxies.values()):
                self._misses[proxy.name] = 0 if _is_ready(proxy) else self._miss(proxy)
            gevent.sleep(PROBE_INTERVAL_S)

    def _miss(self, proxy: Proxy) -> int:
        return self._misses.get(proxy.name, 0) + 1

    def choose(self) -> Proxy:
        """Returns the VM for a new session."""
        proxies = list(self._proxies.values())
        ready = [p for p in proxies if self._misses.get(p.name, 0) < MISSES_UNTIL_OUT]
        return self._random.choice(ready if 2 * len(ready) >= len(proxies) else proxies)


def _is_ready(proxy: Proxy) -> bool:
    try:
        with gevent.Timeout(PROBE_INTERVAL_S, TimeoutError):
            return proxy.ready
    except OSError:
        return False


class Caller:
    """A client with an item of its own, in one session after the other."""

    def __init__(
        self,
        number: int,
        deployment: Deployment,
        balancer: Balancer,
        record: Record,
        random: Random,
    ) -> None:
        self._number = number
        self._deployment = deployment
        self._balancer = balancer
        self._record = record
        self._random = random
        self._ids = itertools.count(1)
        self._item = f"item{number}"

    def run(self) -> None:
        """Opens sessions until it is killed."""
        for session in itertools.count(self._number * 100_000):
            proxy = self._balancer.choose()
            try:
                client = Client(proxy.clients, "own", timeout_s=5.0)
            except OSError:
                gevent.sleep(RECONNECT_S)
                continue
            try:
                self._use(client, proxy, session)
            except OSError:
                gevent.sleep(RECONNECT_S)
            finally:
                client.close()

    def _use(self, client: Client, proxy: Proxy, session: int) -> None:
        if not client.greeting.startswith(b"READY"):
            return
        commits: dict[str, tuple[int, int]] = {}
        for _ in range(OPERATIONS_PER_SESSION):
            if self._random.random() < TRANSACTION_SHARE:
                self._transact(client, proxy, session)
            elif self._random.random() < READ_SHARE:
                self._read(client, proxy, session, commits)
            else:
                self._write(client, proxy, session, commits)
            gevent.sleep(self._random.uniform(0, 2 * PAUSE_S))
        if self._random.random() < RESET_SHARE:
            client.send(b"QUERY unread READ item\r\n")
            reset(client)

    def _send(
        self, client: Client, proxy: Proxy, session: int, kind: str, text: str, value: int = -1
    ) -> Request:
        """Runs a statement; raises `ConnectionError` if it gets no complete answer."""
        request_id = f"c{self._number}-{next(self._ids)}"
        request = Request(
            request_id.encode(),
            kind,
            "own",
            proxy.name,
            session,
            self._item,
            time.monotonic(),
            value,
        )
        request.terms = {name: group.term for name, group in self._deployment.groups.items()}
        self._record.requests.append(request)
        reply = client.query(text, request_id)
        request.answered_at = time.monotonic()
        request.error = (reply.error or b"").decode()
        if kind == "read" and reply.rows:
            request.value = int(reply.rows[0])
        # The id of a target begins with the name of its group, but in the first group.
        target = (reply.receipt or b"").decode().partition(".")[0]
        request.group = target.partition("-")[0] if "-" in target else self._deployment.group.name
        return request

    def _write(
        self, client: Client, proxy: Proxy, session: int, commits: dict[str, tuple[int, int]]
    ) -> None:
        value = next(self._record.values)
        request = self._send(client, proxy, session, "write", f"WRITE {self._item} {value}", value)
        if request.succeeded:
            commits[request.group] = (value, request.terms[request.group])

    def _read(
        self, client: Client, proxy: Proxy, session: int, commits: dict[str, tuple[int, int]]
    ) -> None:
        known = dict(commits)
        request = self._send(client, proxy, session, "read", f"READ {self._item}")
        value, term = known.get(request.group, (-1, 0))
        # A promotion may have rolled the commit back.
        if request.succeeded and term == self._deployment.groups[request.group].term:
            request.expected = value

    def _transact(self, client: Client, proxy: Proxy, session: int) -> None:
        self._send(client, proxy, session, "begin", "BEGIN")
        if self._random.random() < LEAVE_SHARE:
            raise ConnectionError("left in the middle of a transaction")
        text = f"WRITE {self._item}t {next(self._record.values)}"
        if not self._send(client, proxy, session, "transaction-write", text).error:
            self._send(client, proxy, session, "commit", "COMMIT")
        else:
            self._send(client, proxy, session, "rollback", "ROLLBACK")


def reset(client: Client) -> None:
    """Leaves with unread bytes, which resets the connection."""
    client.socket.setsockopt(
        system_socket.SOL_SOCKET, system_socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
