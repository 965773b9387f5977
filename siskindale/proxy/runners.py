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

    `forwarding` returns those that forward. `owns` tells whether this VM owns the connections of a
    group, `wait_until_settled` waits until the fleet is known.
    """

    statements: StatementRunner
    transactions: TransactionRunner
    forwarding: Callable[[], Forwarding]
    owns: Callable[[Group], bool]
    wait_until_settled: Callable[[float], bool]

    def statements_for(self, group: Group) -> AnyStatementRunner:
        """Returns the runner of statements outside transactions."""
        return self.statements if self.owns(group) else self.forwarding().statements

    def transactions_for(self, group: Group) -> AnyTransactionRunner:
        """Returns the runner of a new transaction, which runs all of its statements."""
        return self.transactions if self.owns(group) else self.forwarding().transactions
