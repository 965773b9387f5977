"""Brings a connection to the state of a session, and records what its target confirms of that."""

from collections.abc import Callable

from siskindale.models.statements import Reply, Statement
from siskindale.proxy.connection import TargetConnection, encode_step
from siskindale.proxy.decisions.session_state import SessionValues, preparation_steps
from siskindale.runtime.logs import logger


class Preparation:
    """Steps that precede a statement in the same flight.

    Each step counts as done once its own reply says so: a target may refuse any of them, and the
    reply to the statement does not tell which.
    """

    def __init__(
        self, connection: TargetConnection, values: SessionValues, statement: Statement | None
    ) -> None:
        self._connection = connection
        self._steps = preparation_steps(connection.values, values, statement)

    @property
    def messages(self) -> list[bytes]:
        """The messages of all steps, in their order."""
        return [encode_step(step) for step in self._steps]

    def receive(self, remaining_s: Callable[[], float]) -> Reply | None:
        """Reads the replies to all steps; returns the first one that is an error.

        Raises what `TargetConnection.receive` raises; `remaining_s` returns the time that is left.
        """
        failed_reply: Reply | None = None
        for step in self._steps:
            reply = self._connection.receive(remaining_s())
            if reply.error is None:
                self._connection.values.record(step)
                continue
            failed_reply = failed_reply or reply
        if failed_reply is not None:
            self._connection.values.uncertain = True
            logger().warning(
                "preparation-failed",
                target=self._connection.target.id,
                reason=str(failed_reply.error),
            )
        return failed_reply
