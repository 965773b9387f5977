"""Promise 3: transactions are isolated from each other.

Each transaction reads a register before it overwrites it, so the values give the version order of
the register. A cycle in the dependency graph means that no serial order explains the reads.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator

import networkx

from bench.checks import CHECKS, Verdict, make_verdict
from bench.history import DONE, Event, FinalState, Record
from bench.schema import INITIAL

NAME = "isolation of transactions"


@CHECKS.register(NAME)
def check(record: Record) -> Verdict:
    """Checks the transactions of each database separately."""
    transactions = [e for e in record.events if e.kind == "transaction"]
    violations: list[str] = []
    committed = 0
    for state in record.final:
        database_transactions = [t for t in transactions if t.database == state.database]
        applied = _applied_transactions(database_transactions, state)
        committed += len(applied)
        violations += _violations(database_transactions, applied, state)
    evidence = f"{committed} of {len(transactions)} transactions committed"
    return make_verdict(NAME, committed, evidence, violations)


def _applied_transactions(transactions: Iterable[Event], state: FinalState) -> dict[str, Event]:
    """Returns, by uid, the transactions that were acknowledged or whose write is present."""
    present = {uid for uid, _, _ in state.events}
    return {t.uid: t for t in transactions if t.outcome == DONE or t.uid in present}


def _violations(
    transactions: Iterable[Event], applied: dict[str, Event], state: FinalState
) -> Iterator[str]:
    for transaction in transactions:
        if transaction.outcome == "rolled_back" and transaction.uid in applied:
            yield f"{transaction.uid} was rolled back and took effect"
    for reader in applied.values():
        for register, value in reader.reads.items():
            if value != INITIAL and value not in applied:
                yield f"{reader.uid} read {register}={value} of a transaction without effect"
    graph = dependency_graph(applied)
    for component in networkx.strongly_connected_components(graph):
        if len(component) > 1:
            yield f"cycle in {state.database}: {', '.join(sorted(component))}"
    for register, value in state.registers.items():
        if any(t.reads.get(register) == value and register in t.writes for t in applied.values()):
            yield f"{register}={value} in {state.database} was overwritten, but is the final value"


def dependency_graph(applied: dict[str, Event]) -> "networkx.DiGraph[str]":
    """Returns a graph with an edge from each transaction to those that must come after it."""
    graph: networkx.DiGraph[str] = networkx.DiGraph()
    graph.add_nodes_from(applied)
    successors: dict[tuple[str, str], list[str]] = defaultdict(list)
    for uid, transaction in applied.items():
        for register in transaction.writes:
            successors[register, transaction.reads[register]].append(uid)
    for uid, transaction in applied.items():
        for register, value in transaction.reads.items():
            if value in applied:
                graph.add_edge(value, uid)
            # A transaction that overwrote the value comes after those that read it.
            graph.add_edges_from(
                (uid, successor) for successor in successors[register, value] if successor != uid
            )
    return graph
