"""The session proxy as a running program: its components, start and stop."""

from __future__ import annotations

import atexit
import gc
import os
import signal
import socket
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, TextIO, cast

import gevent
from gevent.event import Event
from returns.result import Failure, Result

from siskindale.config.findings import Finding
from siskindale.context import Environment, SuspendAwareClock
from siskindale.exits import ExitStatus
from siskindale.models.address import Address
from siskindale.models.vm import RELOADABLE, ProxySettings, changed_fields
from siskindale.platform.store import PlatformStore
from siskindale.proxy import metrics
from siskindale.proxy.admission import Admission
from siskindale.proxy.directory import Directory
from siskindale.proxy.duty import Duties
from siskindale.proxy.duty_keeper import DutyKeeper
from siskindale.proxy.failover import Failover
from siskindale.proxy.followers import CatalogFollower, TargetsFollower
from siskindale.proxy.listening import AddressUnavailableError
from siskindale.proxy.members import Membership
from siskindale.proxy.ownership import Ownership
from siskindale.proxy.peers import Peers
from siskindale.proxy.pool import ConnectionPool
from siskindale.proxy.routing import Router
from siskindale.proxy.runners import Runners
from siskindale.proxy.server import SessionServer, metrics_server, readiness_server
from siskindale.proxy.shutdown import Drain
from siskindale.proxy.single import StatementRunner
from siskindale.proxy.state import ProxyState
from siskindale.proxy.tables import Group
from siskindale.proxy.transactions import TransactionRunner
from siskindale.runtime import logs
from siskindale.runtime.log_stream import BoundedStream
from siskindale.runtime.logs import logger
from siskindale.runtime.supervision import failing_tasks, long_lived, supervise

if TYPE_CHECKING:
    from siskindale.proxy.forwarding import Forwarding
    from siskindale.proxy.owner import ForwardingServer

# By then, sessions that were waiting at the start have their first connections to targets.
LOG_SETUP_DELAY_S = 0.3
PEER_EXCHANGE_DELAY_S = 0.1
# VMs of a growing fleet forward to others that have not noticed yet; these refuse until then.
FORWARDING_CHECK_INTERVAL_S = 0.05

SettingsLoader = Callable[[], Result[ProxySettings, tuple[Finding, ...]]]


class ProxyProgram:
    """All components of the session proxy of one VM."""

    def __init__(
        self, settings: ProxySettings, load: SettingsLoader, listener: socket.socket | None
    ) -> None:
        self._load_settings = load
        clock = SuspendAwareClock()
        groups: dict[str, Group] = {}
        self._settings = settings
        self._clock = clock
        self._stopping = Event()
        self._membership = Membership(
            settings,
            clock,
            Random(),
            lambda: self._state.catalog_version,
            lambda url: self._peers.request_state_from(url),
        )
        self._ownership = ownership = Ownership(self._membership.table, groups)
        self._pool = ConnectionPool(
            settings,
            clock,
            groups,
            self._vm_count,
            ownership.owns,
            self._notify_peers,
            lambda: self._targets.read_soon(),
        )
        self._state = ProxyState(settings, clock, groups, self._pool)
        self._state.needs_targets_if(self._owns_any)
        self._admission = Admission(settings, clock, self._state)
        store = PlatformStore(settings.store)
        store.on_restored(self._note_restored)
        duties = Duties(settings, store, ownership)
        self._peers = Peers(
            settings,
            clock,
            self._state,
            self._membership,
            ownership,
            self._pool.yield_connections,
            self._admission,
            duties,
        )
        self._directory = Directory(store, self._membership, Random(), clock)
        self._duty = DutyKeeper(settings, self._state, self._peers, ownership, duties)
        self._catalog = CatalogFollower(settings, store, self._state, self._peers.announce_soon)
        self._targets = TargetsFollower(
            store,
            self._state,
            self._peers.request_state,
            self._peers.notify_targets,
            self._wait_until_ownership_known,
            self._owns_any,
        )
        self._forwarding_runners: Forwarding | None = None
        self._forwarding_server: ForwardingServer | None = None
        self._runners = self._build_runners()
        self._failover = Failover(
            settings,
            self._state,
            self._pool,
            self._peers,
            ownership,
            duties,
            self._runners.transactions,
        )
        self._server = SessionServer(settings.clients, self._state, self._runners, listener)

    def _build_runners(self) -> Runners:
        router = Router(self._pool, self._peers.request_sample)
        return Runners(
            StatementRunner(self._pool, router, self._admission),
            TransactionRunner(self._pool, router, self._admission),
            self._forwarding,
            self._ownership.serves,
            self._directory.wait_until_settled,
        )

    def _forwarding(self) -> Forwarding:
        """Returns the runners that forward, imported only in a fleet that needs them."""
        if self._forwarding_runners is None:
            from siskindale.proxy.forwarding import create_forwarding

            self._forwarding_runners = create_forwarding(self._ownership, self._state, self._clock)
        return self._forwarding_runners

    @long_lived("forwarding", vital=True)
    def _serve_forwarded(self) -> None:
        """Serves other VMs once some of them do not own all connections themselves.

        The import would hold up the first clients, and a small fleet needs none of it.
        """
        gevent.sleep(PEER_EXCHANGE_DELAY_S)
        self._wait_until_ownership_known()
        while not self._forwards_any():
            gevent.sleep(FORWARDING_CHECK_INTERVAL_S)
        from siskindale.proxy.owner import ForwardingServer

        server = ForwardingServer(self._settings, self._state, self._ownership, self._runners)
        server.start()
        self._forwarding_server = server
        logger().info("forwarding-served", members=len(self._membership.table.serving()))

    def _forwards_any(self) -> bool:
        """Returns whether VMs forward statements: to owners, or to the homes of workspaces."""
        owns_everything = map(self._ownership.owns_everything, self._state.groups.values())
        return self._state.has_workspaces or not all(owns_everything)

    def _wait_until_ownership_known(self) -> None:
        self._directory.wait_until_settled()
        self._state.wait_for_catalog()

    def _owns_any(self) -> bool:
        return any(self._ownership.owns(group) for group in self._state.groups.values())

    def run(self) -> ExitStatus:
        """Serves until SIGTERM, then drains."""
        gevent.signal_handler(signal.SIGTERM, self._stopping.set)
        gevent.signal_handler(signal.SIGINT, self._stopping.set)
        gevent.signal_handler(signal.SIGHUP, self._reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
        address = self._settings.readiness
        _listen("readiness probes", address, readiness_server(address, self._is_ready).start)
        self._serve_metrics(Address(address.host, self._settings.metrics_port))
        _listen("other VMs", self._settings.peers, self._membership.start)
        for background_task in (
            self._directory.run,
            self._serve_forwarded,
            self._catalog.run,
            self._targets.run,
            self._exchange_state,
            self._failover.run,
            self._duty.run,
        ):
            supervise(background_task)
        self._server.start()
        # Objects created by the imports live as long as the process and need no further collection.
        gc.freeze()
        gc.enable()
        logger().info("started", vm=self._settings.vm, pid=os.getpid())
        self._stopping.wait()
        self._stop()
        return ExitStatus.SUCCESS

    @long_lived("peers-start")
    def _exchange_state(self) -> None:
        """Exchanges state with peers, delayed because its import would hold up first clients."""
        gevent.sleep(PEER_EXCHANGE_DELAY_S)
        from siskindale.transport.mailbox import Mailbox

        self._peers.connect(Mailbox(self._settings.vm, self._settings.peers, self._clock))
        supervise(self._peers.run)

    def _serve_metrics(self, address: Address) -> None:
        """Serves metrics; if it cannot, the proxy still serves its clients."""
        try:
            metrics_server(address).start()
        except OSError as error:
            logger().error("metrics-unavailable", address=str(address), reason=str(error))

    def _stop(self) -> None:
        logger().info("stopping", sessions=len(self._server.sessions))
        self._peers.draining = True
        for announce in (self._membership.drain, self._peers.announce):
            try:
                announce()
            except Exception:
                # Other VMs notice the end of this one also without being told.
                logger().exception("shutdown-not-announced")
        servers = (self._server, self._forwarding_server)
        Drain(self._settings, self._clock, *servers, self._interrupt).run()
        logger().info("stopped")

    def _interrupt(self) -> None:
        """Ends all statements with an error that is true of them."""
        self._pool.interrupt()
        if self._forwarding_runners is not None:
            self._forwarding_runners.links.close("shutdown")

    def _is_ready(self) -> bool:
        ready = self._state.ready and self._directory.settled
        return ready and not self._stopping.is_set() and not failing_tasks()

    def _note_restored(self, era: int) -> None:
        """Writes again what this VM keeps in the store; other writers do the same."""
        metrics.STORE_RESTORATIONS.inc()
        logger().warning("store-restored", era=era)
        self._duty.note_restored()
        self._directory.note_restored()

    def _vm_count(self, group: Group) -> int:
        live_count = self._peers.vm_count(group)
        if self._state.has_workspaces:
            # After a restart of all VMs, an owner has not heard of the others yet.
            return max(live_count, len(self._ownership.owners(group)))
        return live_count

    def _notify_peers(self) -> None:
        self._peers.announce()

    def _reload(self) -> None:
        """Reloads the settings; a file with findings is ignored."""
        loaded = self._load_settings()
        if isinstance(loaded, Failure):
            for finding in loaded.failure():
                logger().error("settings-invalid", finding=str(finding))
            return
        settings = loaded.unwrap()
        changed = changed_fields(self._settings, settings)
        needs_restart = sorted(changed - RELOADABLE)
        logger().info(
            "settings-reloaded", changed=",".join(sorted(changed)), needs_restart=needs_restart
        )
        self._settings = settings
        self._pool.reload(settings)
        self._peers.reload(settings)
        self._membership.reload(settings)


def _listen(purpose: str, address: Address, start: Callable[[], None]) -> None:
    try:
        start()
    except OSError as error:
        raise AddressUnavailableError(purpose, address, error) from error


def run(
    settings: ProxySettings, env: Environment, load: SettingsLoader, listener: socket.socket | None
) -> ExitStatus:
    """Runs the session proxy until it is stopped; `load` reloads its settings.

    `listener` is the socket for clients if it is already open.
    """
    logs.defer_output()
    stream = BoundedStream(env.stdout.fileno(), env.clock.monotonic)

    def configure_logs() -> None:
        logs.configure(settings.log_level, cast(TextIO, stream), vm=settings.vm)

    gevent.spawn_later(LOG_SETUP_DELAY_S, configure_logs)
    supervise(stream.run)
    atexit.register(stream.flush)
    return ProxyProgram(settings, load, listener).run()
