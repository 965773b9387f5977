"""Pool of connections to targets, which client sessions share."""

import itertools
from collections.abc import Callable, Iterable
from random import Random

import gevent
from gevent.event import AsyncResult

from siskindale.context import Clock
from siskindale.models.group import LogPosition
from siskindale.models.statements import ErrorCode, SessionState
from siskindale.models.vm import ProxySettings
from siskindale.platform import wire
from siskindale.proxy import metrics
from siskindale.proxy.connection import (
    ConnectRefusedError,
    ConnectTimeoutError,
    ReplyTimeoutError,
    StartRefusedError,
    TargetConnection,
    probe_primary,
)
from siskindale.proxy.decisions import (
    bound_connections,
    connections,
    fairness,
    idle_transactions,
    leadership,
    placement,
    waiting,
)
from siskindale.proxy.tables import Group, Need, Target, Waiter
from siskindale.runtime.logs import logger

ROLLBACK_TIMEOUT_S = 1.0
# Delay before another attempt to connect to a target that had no free connection.
FULL_RETRY_S = 0.06
UNREACHABLE_RETRY_S = 0.25
UNREACHABLE_AVOID_S = 0.5
# Time for a new connection to show whether a target that does not reply is still running.
SILENT_AVOID_S = 0.3


class ConnectionPool:
    """Connections of this VM to all targets of all groups."""

    def __init__(
        self,
        settings: ProxySettings,
        clock: Clock,
        groups: dict[str, Group],
        vm_count: Callable[[Group], int],
        owns: Callable[[Group], bool],
        notify_peers: Callable[[], None],
        read_registrations: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._groups = groups
        self._vm_count = vm_count
        self._owns = owns
        self._notify_peers = notify_peers
        self._read_registrations = read_registrations
        self._random = Random()
        self._in_use: set[TargetConnection] = set()
        self._interrupted = False

    @property
    def interrupted(self) -> bool:
        """Whether statements are refused because the VM stops."""
        return self._interrupted

    def interrupt(self) -> None:
        """Ends all statements: those that wait are refused, those that run lose the connection."""
        self._interrupted = True
        for group in self._groups.values():
            waiters, group.waiters[:] = group.waiters[:], []
            for waiter in waiters:
                waiter.result.set(None)
        for connection in list(self._in_use):
            connection.abort()

    def reload(self, settings: ProxySettings) -> None:
        """Applies changed settings."""
        self._settings = settings

    def now(self) -> float:
        """Seconds of the suspend-aware clock."""
        return self._clock.monotonic()

    def acquire(
        self, group: Group, need: Need, excluded: Iterable[str] = ()
    ) -> TargetConnection | None:
        """Returns an idle connection that meets `need`, None at the deadline or if interrupted."""
        if self._interrupted:
            return None
        waiter = Waiter(need, set(excluded), AsyncResult())
        connection = self._acquire_without_waiting(group, waiter)
        if connection is not None:
            return connection
        group.waiters.append(waiter)
        try:
            self._open_for(group, waiter)
            return waiter.result.get(timeout=max(0.0, need.deadline - self.now()))
        except gevent.Timeout:
            return waiter.result.value
        except BaseException:
            if waiter.result.value is not None:
                self.release(group, waiter.result.value)
            raise
        finally:
            if waiter in group.waiters:
                group.waiters.remove(waiter)

    def release(self, group: Group, connection: TargetConnection) -> None:
        """Returns a connection to the pool, or closes it if it can't be reused."""
        target = connection.target
        self._change_in_flight(target, -1)
        self._in_use.discard(connection)
        unusable = connection.state is not SessionState.IDLE or not connection.reusable
        if target.closed or unusable or connections.must_yield(target, self.now()):
            self.discard(group, connection)
            self.dispatch(group)
            return
        self._add_idle(connection)
        self.dispatch(group)

    def _add_idle(self, connection: TargetConnection) -> None:
        """Makes a connection available, first to statements of the proxy itself."""
        target = connection.target
        connection.used_at = self.now()
        connection.in_use = False
        target.idle_connections.append(connection)
        if target.control_waiters:
            taken = self.take_idle(target)
            if taken is not None:
                target.control_waiters.pop(0).set(taken)

    def acquire_for_control(
        self, group: Group, target: Target, timeout_s: float
    ) -> TargetConnection | None:
        """Returns the next free connection to a target, for a statement of the proxy itself.

        It goes before all statements of clients, since failover must not depend on their load.
        """
        connection = self.take_idle(target)
        if connection is not None:
            return connection
        waiter = AsyncResult()
        target.control_waiters.append(waiter)
        try:
            if not target.running_count:
                # All connections, if there are any, are held by idle transactions.
                self.open_in_background(group, target)
            return waiter.get(timeout=timeout_s)
        except gevent.Timeout:
            return waiter.value
        finally:
            if waiter in target.control_waiters:
                target.control_waiters.remove(waiter)

    def close_in_use(self, group: Group, connection: TargetConnection) -> None:
        """Closes a connection that is in use."""
        target = connection.target
        self._change_in_flight(target, -1)
        self._in_use.discard(connection)
        if not target.in_flight:
            target.silent_since = None
        self.discard(group, connection)
        self.dispatch(group)

    def roll_back(self, group: Group, connection: TargetConnection) -> None:
        """Rolls back the transaction on a connection in the background, then releases it."""
        gevent.spawn(self._roll_back, group, connection)

    def drop_closed(self, group: Group, target: Target) -> bool:
        """Drops idle connections that the target has closed; returns whether there were any."""
        closed = [connection for connection in target.idle_connections if not connection.reusable]
        for connection in closed:
            target.idle_connections.remove(connection)
            self.discard(group, connection)
        return bool(closed)

    def discard(self, group: Group, connection: TargetConnection) -> None:
        """Closes a connection that is not in the list of idle ones."""
        if not connection.closed:
            connection.close()
            connection.target.open_count -= 1
            if connection.workspace:
                connection.target.bound_connections[connection.workspace].remove(connection)

    def dispatch(self, group: Group) -> None:
        """Assigns idle connections to waiting statements, and opens more where needed.

        It runs after each statement, so it returns early while no target has room.
        """
        if not group.waiters or not (free := self._free_targets(group)):
            return
        for waiter in waiting.service_order(group.waiters, self.now(), group.recent_work):
            if waiter.need.primary_only and group.primary not in free:
                continue
            connection = self._take_idle_for(group, waiter)
            if connection is None:
                self._open_for(group, waiter)
                continue
            group.waiters.remove(waiter)
            waiter.result.set(connection)
            free = self._free_targets(group)
            if not free:
                return

    def _free_targets(self, group: Group) -> list[Target]:
        """Returns the targets at which this VM may run one more statement."""
        vm_count = self._vm_count(group)
        return [
            target
            for target in group.targets.values()
            if target.running_count < waiting.running_limit(target.entry.slots, vm_count)
        ]

    def close_target(self, group: Group, target: Target) -> None:
        """Marks a target as closed, and closes its idle connections."""
        target.closed = True
        while target.idle_connections:
            self.discard(group, target.idle_connections.pop())
        self.dispatch(group)

    def yield_connections(self, group: Group, target: Target) -> None:
        """Closes surplus connections to a target, for a VM that has none to it."""
        target.yield_until = self.now() + connections.YIELD_PERIOD_S
        for connection in self._remove_oldest_idle(
            target, connections.surplus_idle_count(target, group, self.now())
        ):
            self.discard(group, connection)

    def take_idle(self, target: Target, workspace: str | None = None) -> TargetConnection | None:
        """Returns an idle connection to a target, None if there is none.

        Without a `workspace` it may be of any, for statements of the proxy itself.
        """
        for index in reversed(range(len(target.idle_connections))):
            connection = target.idle_connections[index]
            if workspace is not None and connection.workspace != workspace:
                continue
            del target.idle_connections[index]
            if connection.reusable:
                self._change_in_flight(target, 1)
                connection.in_use = True
                self._in_use.add(connection)
                if workspace:
                    self._note_use(target, workspace)
                return connection
            self.discard(self._groups[target.entry.group], connection)
        return None

    def _change_in_flight(self, target: Target, change: int) -> None:
        target.average_load.advance(target.running_count, self.now())
        target.in_flight += change

    def _note_use(self, target: Target, workspace: str) -> None:
        now = self.now()
        bound_connections.note_use(target, workspace, now)
        work_s = placement.expected_latency(target, now)
        fairness.note_work(self._groups[target.entry.group], workspace, work_s, now)

    def maintain(self, group: Group) -> None:
        """Opens connections up to the minimum of each target, and closes surplus idle ones."""
        now = self.now()
        owned = self._owns(group)
        for target in list(group.targets.values()):
            minimum = connections.min_open_connections(target, group) if owned else 0
            for connection in self._remove_oldest_idle(
                target, connections.surplus_idle_count(target, group, now, minimum)
            ):
                self.discard(group, connection)
            for connection in bound_connections.expired(target, now):
                target.idle_connections.remove(connection)
                self.discard(group, connection)
            if target.open_count + target.opening_count < minimum and not target.opening_count:
                self._start_opening(group, target)
        self.dispatch(group)

    def _remove_oldest_idle(self, target: Target, count: int) -> list[TargetConnection]:
        unbound = (c for c in target.idle_connections if target.leaving or not c.workspace)
        removed = list(itertools.islice(unbound, count))
        for connection in removed:
            target.idle_connections.remove(connection)
        return removed

    def _acquire_without_waiting(self, group: Group, waiter: Waiter) -> TargetConnection | None:
        """Returns an idle connection, unless statements that wait already go first."""
        bypass = waiting.queue_bypass(group.waiters, waiter.need)
        if not bypass.allowed:
            return None
        candidates = self._candidates(group, waiter)
        if bypass.except_primary:
            candidates = [target for target in candidates if target is not group.primary]
        return self._take_idle_of(candidates, waiter)

    def _take_idle_for(self, group: Group, waiter: Waiter) -> TargetConnection | None:
        return self._take_idle_of(self._candidates(group, waiter), waiter)

    def _take_idle_of(
        self, candidates: Iterable[Target], waiter: Waiter
    ) -> TargetConnection | None:
        workspace = waiter.need.workspace
        taken = (self.take_idle(target, workspace) for target in candidates)
        return next(filter(None, taken), None)

    def _candidates(self, group: Group, waiter: Waiter) -> list[Target]:
        """Returns the targets that a statement may go to now, best first."""
        vm_count = self._vm_count(group)
        return [
            target
            for target in self._possible_targets(group, waiter.need, waiter.excluded)
            if target.running_count < waiting.running_limit(target.entry.slots, vm_count)
        ]

    def _possible_targets(self, group: Group, need: Need, excluded: Iterable[str]) -> list[Target]:
        """Returns the targets that may run a statement, also busy ones, best first."""
        settings = self._settings
        return placement.candidates(
            group,
            need,
            excluded,
            settings.failure_domain,
            self.now(),
            settings.drain_s,
            self._random,
        )

    def targets_without_connections(self, group: Group) -> list[Target]:
        """Returns targets that statements wait for only because all connections are held."""
        vm_count = self._vm_count(group)
        return [
            target
            for target in group.targets.values()
            if idle_transactions.waits_for_connections(
                group, target, waiting.running_limit(target.entry.slots, vm_count)
            )
        ]

    def reachable(self, group: Group, need: Need) -> bool:
        """Returns whether any target can run a statement, perhaps after others."""
        return bool(self._possible_targets(group, need, ()))

    def cannot_be_served(self, group: Group, need: Need) -> bool:
        """Returns whether a new statement would not get its reply before its deadline."""
        if self._interrupted:
            return True
        if not group.waiters:
            return False
        now = self.now()
        targets = self._possible_targets(group, need, ())
        wait_s = waiting.expected_wait(group, targets, need, self._vm_count(group), now)
        return now + wait_s > need.deadline

    def _open_for(self, group: Group, waiter: Waiter) -> None:
        now = self.now()
        candidates = self._candidates(group, waiter)
        if waiter.need.workspace:
            if candidates:
                self._open_bound(group, candidates[0], waiter.need.workspace)
            return
        vm_count = self._vm_count(group)
        openable = [t for t in candidates if connections.may_open(t, group, vm_count, now)]
        if openable and sum(t.opening_count for t in candidates) < len(group.waiters):
            self._start_opening(group, openable[0])

    def _open_bound(self, group: Group, target: Target, workspace: str) -> None:
        """Opens a connection for a workspace, if needed in place of another workspace's."""
        now = self.now()
        waiting = [w.need.workspace for w in group.waiters]
        latency_s = placement.expected_latency(target, now)
        if not bound_connections.needs_connection(
            target, workspace, waiting.count(workspace), latency_s, now
        ):
            return
        limit = bound_connections.connection_limit(
            group.limits.max_connections, self._vm_count(group)
        )
        if target.open_count + target.opening_count >= limit:
            replaced = bound_connections.connection_to_replace(target, waiting, now)
            if replaced is None:
                return
            target.idle_connections.remove(replaced)
            self.discard(group, replaced)
            metrics.CONNECTIONS_REPLACED.inc()
        self._start_opening(group, target, workspace)

    def _start_opening(self, group: Group, target: Target, workspace: str = "") -> None:
        if target.closed or self.now() < target.next_open_at:
            return
        target.opening_count += 1
        target.opening_workspaces.append(workspace)
        gevent.spawn(self._open, group, target, workspace)

    def _open(self, group: Group, target: Target, workspace: str) -> None:
        started_at = self.now()
        try:
            connection = TargetConnection.open(target, workspace)
        except ConnectRefusedError:
            self._note_unreachable(group, target, "connection refused", refused=True)
        except StartRefusedError as error:
            self._note_start_refused(group, target, error)
        except ConnectTimeoutError:
            self._note_unreachable(group, target, "no answer", refused=False)
        except (OSError, wire.ProtocolError) as error:
            # The host answers, so the target may still be running.
            target.next_open_at = self.now() + UNREACHABLE_RETRY_S
            logger().info("connection-failed", target=target.id, reason=repr(error))
        else:
            metrics.CONNECTIONS_OPENED.labels("opened").inc()
            target.connection_refused = False
            target.full_at = None
            target.avoid_until = 0.0
            self._add_opened(group, connection, started_at)
        finally:
            target.opening_count -= 1
            target.opening_workspaces.remove(workspace)
        self.dispatch(group)

    def _add_opened(self, group: Group, connection: TargetConnection, started_at: float) -> None:
        target = connection.target
        if target.closed:
            connection.close()
            return
        target.open_count += 1
        if connection.workspace:
            target.bound_connections.setdefault(connection.workspace, []).append(connection)
        leadership.note_reachable(group, target)
        self._add_idle(connection)

    def _note_start_refused(self, group: Group, target: Target, error: StartRefusedError) -> None:
        code = error.reply.error
        metrics.CONNECTIONS_OPENED.labels(code.value if code else "unknown").inc()
        if code is ErrorCode.WRONG_TARGET:
            logger().warning("target-replaced", group=group.name, target=target.id)
            self._read_registrations()
            if leadership.note_unreachable(group, target, self.now(), refused=True):
                self._notify_peers()
            target.connection_refused = True
            target.next_open_at = target.avoid_until = self.now() + UNREACHABLE_RETRY_S
            return
        if target.full_at is None:
            reason = code.value if code else ""
            logger().info("target-full", target=target.id, reason=reason, held=target.open_count)
        target.full_at = self.now()
        target.next_open_at = target.full_at + FULL_RETRY_S
        if target.open_count == 0:
            self._notify_peers()

    def _note_unreachable(self, group: Group, target: Target, reason: str, refused: bool) -> None:
        now = self.now()
        metrics.CONNECTIONS_OPENED.labels("refused" if refused else "unreachable").inc()
        if now >= target.avoid_until:
            logger().warning(
                "target-unreachable", group=group.name, target=target.id, reason=reason
            )
        target.connection_refused = refused
        target.next_open_at = now + UNREACHABLE_RETRY_S
        target.avoid_until = now + UNREACHABLE_AVOID_S
        if leadership.note_unreachable(group, target, now, refused):
            self._notify_peers()

    def _roll_back(self, group: Group, connection: TargetConnection) -> None:
        try:
            connection.send([wire.encode_rollback()])
            connection.receive(ROLLBACK_TIMEOUT_S)
        except (OSError, ReplyTimeoutError, wire.ProtocolError) as error:
            logger().info("rollback-failed", target=connection.target.id, reason=repr(error))
            self.close_in_use(group, connection)
            return
        self.release(group, connection)

    def open_in_background(self, group: Group, target: Target) -> None:
        """Opens a connection in the background, unless one is being opened already."""
        if not target.opening_count:
            self._start_opening(group, target)

    def confirm_primary(self, group: Group, target: Target, timeout_s: float) -> bool:
        """Asks a target whether it is the primary; records the reply."""
        connection = self.acquire_for_control(group, target, timeout_s)
        if connection is None:
            return False
        asked_at = self.now()
        try:
            position = probe_primary(connection, timeout_s)
        except (OSError, ReplyTimeoutError, wire.ProtocolError) as error:
            logger().info("probe-failed", target=target.id, reason=repr(error))
            self.close_in_use(group, connection)
            self._note_silent(group, target, asked_at)
            return False
        if position is None:
            leadership.note_not_primary(group, target, self.now())
        else:
            self.note_primary(group, target, position, asked_at)
        self.release(group, connection)
        return position is not None

    def _note_silent(self, group: Group, target: Target, asked_at: float) -> None:
        """Opens a new connection, to find out whether only the old one failed."""
        target.avoid_until = self.now() + SILENT_AVOID_S
        target.next_open_at = 0.0
        self._start_opening(group, target)

    def note_primary(
        self, group: Group, target: Target, position: LogPosition | None, asked_at: float
    ) -> None:
        """Records that a target confirmed with its reply that it is the primary."""
        changed = leadership.note_primary(group, target, self.now())
        if position is not None:
            group.freshness.add_sample(position, asked_at)
        if changed:
            logger().info(
                "primary-found", group=group.name, target=target.id, position=str(position)
            )
            self.dispatch(group)
