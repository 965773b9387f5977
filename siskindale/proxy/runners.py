"""Chooses whether this VM runs a statement itself or forwards it to an owner of the connections."""

from collections.abc import Callable

import attrs

from siskindale.proxy.forwarding import ForwardingStatementRunner, ForwardingTransactionRunner
from siskindale.proxy.single import StatementRunner
from siskindale.proxy.tables import Group
from siskindale.proxy.transactions import TransactionRunner

AnyStatementRunner = StatementRunner | ForwardingStatementRunner
AnyTransactionRunner = TransactionRunner | ForwardingTransactionRunner


@attrs.frozen
class Runners:
    """Runners of statements outside and inside transactions.

    `owns` tells whether this VM owns the connections of a group, `wait_until_settled` waits until
    the fleet is known.
    """

    local_statements: StatementRunner
    local_transactions: TransactionRunner
    forwarded_statements: ForwardingStatementRunner
    forwarded_transactions: ForwardingTransactionRunner
    owns: Callable[[Group], bool]
    wait_until_settled: Callable[[float], bool]

    def statements(self, group: Group) -> AnyStatementRunner:
        """Returns the runner of statements outside transactions."""
        return self.local_statements if self.owns(group) else self.forwarded_statements

    def transactions(self, group: Group) -> AnyTransactionRunner:
        """Returns the runner of a new transaction, which runs all of its statements."""
        return self.local_transactions if self.owns(group) else self.forwarded_transactions
