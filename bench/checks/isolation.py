"""Promise 3: transactions are not mixed.

Each transaction reads a register before it overwrites it, so the values form the version order. A
cycle in the graph of dependencies means that no serial order explains what was read.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator

import networkx

from bench.checks import CHECKS, Verdict, verdict
from bench.history import DONE, Event, FinalState, Record
from bench.schema import INITIAL

NAME = "isolation of transactions"


@CHECKS.register(NAME)
def check(record: Record) -> Verdict:
    """Checks the transactions of each database on their own."""
    transactions = [e for e in record.events if e.kind == "transaction"]
    violations: list[str] = []
    committed = 0
    for state in record.final:
        own = [t for t in transactions if t.database == state.database]
        applied = _applied(own, state)
        committed += len(applied)
        violations += _violations(own, applied, state)
    evidence = f"{committed} of {len(transactions)} transactions committed"
    return verdict(NAME, committed, evidence, violations)


def _applied(transactions: Iterable[Event], state: FinalState) -> dict[str, Event]:
    """Returns acknowledged transactions and those of unknown outcome that took effect."""
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
    graph = dependencies(applied)
    for component in networkx.strongly_connected_components(graph):
        if len(component) > 1:
            yield f"cycle in {state.database}: {', '.join(sorted(component))}"
    for register, value in state.registers.items():
        if any(t.reads.get(register) == value and register in t.writes for t in applied.values()):
            yield f"{register}={value} in {state.database} was overwritten, but is the final value"


def dependencies(applied: dict[str, Event]) -> "networkx.DiGraph[str]":
    """Returns edges from the transactions that must come first."""
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
            # Whoever replaced the value that was read comes later.
            graph.add_edges_from((uid, s) for s in successors[register, value] if s != uid)
    return graph
