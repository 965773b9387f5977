"""Chooses whether this VM runs a statement itself or forwards it to an owner of the connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from siskindale.proxy.single import StatementRunner
from siskindale.proxy.tables import Group
from siskindale.proxy.transactions import TransactionRunner

if TYPE_CHECKING:
    from siskindale.proxy.forwarding import (
        Forwarding,
        ForwardingStatementRunner,
        ForwardingTransactionRunner,
    )

    AnyStatementRunner = StatementRunner | ForwardingStatementRunner
    AnyTransactionRunner = TransactionRunner | ForwardingTransactionRunner


@attrs.frozen
class Runners:
    """Runners of statements outside and inside transactions.

    `forwarding` returns those that forward. `serves` tells whether this VM runs the statements of a
    workspace in a group itself, `wait_until_settled` waits until the fleet is known.
    """

    statements: StatementRunner
    transactions: TransactionRunner
    forwarding: Callable[[], Forwarding]
    serves: Callable[[Group, str], bool]
    wait_until_settled: Callable[[float], bool]

    def statements_for(self, group: Group, workspace: str) -> AnyStatementRunner:
        """Returns the runner of statements outside transactions."""
        serves = self.serves(group, workspace)
        return self.statements if serves else self.forwarding().statements

    def transactions_for(self, group: Group, workspace: str) -> AnyTransactionRunner:
        """Returns the runner of a new transaction, which runs all of its statements."""
        serves = self.serves(group, workspace)
        return self.transactions if serves else self.forwarding().transactions
