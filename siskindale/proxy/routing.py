"""Finds out what a statement, inside or outside a transaction, requires of a target."""

from collections.abc import Callable

import gevent

from siskindale.models.catalog import Consistency, Route
from siskindale.models.group import LogPosition
from siskindale.models.statements import Access, ErrorCode, Statement, Verb
from siskindale.platform import wire
from siskindale.proxy.connection import ReplyTimeoutError, TargetConnection
from siskindale.proxy.decisions import lag, leadership
from siskindale.proxy.decisions.session_state import SessionValues, shared_name
from siskindale.proxy.pool import ConnectionPool
from siskindale.proxy.tables import Group, Need
from siskindale.runtime.logs import logger

# Delay before a statement is sent again to an overloaded target.
RETRY_PAUSE_S = 0.01
# Peers answer and replicas catch up within a few round trips, so requirements are determined again
# after this time.
RECONSIDER_INTERVAL_S = 0.1
# Replicas are about this far behind their primary.
CATCH_UP_PAUSE_S = 0.02

# Errors that end an exchange with a target without a complete reply.
EXCHANGE_ERRORS = (OSError, ReplyTimeoutError, wire.ProtocolError)


def prepared_name(values: SessionValues, statement: Statement) -> bytes:
    """Returns the shared name of the prepared statement to execute, empty for other statements."""
    if statement.verb is Verb.EXECUTE:
        return shared_name(values.prepared[statement.name])
    return b""


class Router:
    """Determines what statements require of a target, and asks peers for missing samples."""

    def __init__(self, pool: ConnectionPool, request_sample: Callable[[str], None]) -> None:
        self._pool = pool
        self._request_sample = request_sample

    def need_of(
        self,
        group: Group,
        route: Route,
        minimum: LogPosition | None,
        access: Access,
        arrived_at: float,
        deadline: float,
        excluded: set[str],
        workspace: str = "",
    ) -> Need:
        """Returns what a statement requires.

        If no sample is recent enough for a read, peers are asked for one. Such a read, and one that
        some targets could not serve, waits only briefly before its requirements are determined
        again: a sample may have arrived, a replica may have caught up, or the primary may be lost.
        """
        lacks_sample = (
            minimum is None
            and access is Access.READ
            and route.consistency is not Consistency.LATEST
        )
        if lacks_sample:
            self._request_sample(group.name)
        if lacks_sample or excluded:
            deadline = min(deadline, self._pool.now() + RECONSIDER_INTERVAL_S)
        objective_at = arrived_at + route.objective_s
        return Need(minimum, route.priority, deadline, minimum is None, objective_at, workspace)

    def note_demoted(self, group: Group, connection: TargetConnection) -> None:
        """Records that a target is a replica, as it refused what only the primary may do."""
        if leadership.note_not_primary(group, connection.target, self._pool.now()):
            logger().info("primary-demoted", group=group.name, target=connection.target.id)

    def note_lagging(
        self,
        group: Group,
        connection: TargetConnection,
        minimum: LogPosition | None,
        held: LogPosition | None,
    ) -> None:
        """Records that a target's log, which ended at `held`, lacked the position `minimum`."""
        if minimum is not None:
            lag.note_lagging(connection.target, group.freshness, minimum, held, self._pool.now())

    @staticmethod
    def primary_lacks_position(
        group: Group, connection: TargetConnection, error: ErrorCode | None
    ) -> bool:
        """Returns whether the primary itself lacked the position that a read requires."""
        is_primary = connection.target is group.primary
        return is_primary and error is ErrorCode.LAGGING

    def reset_exhausted_exclusions(self, group: Group, excluded: set[str]) -> None:
        """Clears the exclusions once they cover every reachable target, and waits briefly.

        Excluded replicas may catch up, and while the primary is lost there are no other targets.
        """
        now = self._pool.now()
        reachable = {
            target.id
            for target in group.targets.values()
            if not target.leaving and now >= target.avoid_until
        }
        if reachable <= excluded:
            excluded.clear()
            gevent.sleep(CATCH_UP_PAUSE_S)
