"""Tests the log of the stand-in for a target."""

import itertools
import tempfile
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from standins.target.storage import Entry, EntryBody, Storage

LOGS = st.lists(st.integers(1, 4), max_size=8).map(sorted)


def storage_with_terms(terms: list[int], directory: str) -> Storage:
    storage = Storage("a", Path(directory) / "a.sqlite")
    storage.append_received([Entry(n, term, EntryBody()) for n, term in enumerate(terms, 1)])
    return storage


@settings(max_examples=60, deadline=None)
@given(LOGS, LOGS)
def test_match_is_the_longest_equal_prefix(primary: list[int], replica: list[int]) -> None:
    """Guards against a replica that keeps divergent entries or drops matching ones."""
    with tempfile.TemporaryDirectory() as directory:
        storage = storage_with_terms(primary, directory)
        runs = [
            (position, term)
            for position, term in enumerate(replica, 1)
            if position == 1 or replica[position - 2] != term
        ]
        pairs = zip(primary, replica, strict=False)
        equal = sum(1 for _ in itertools.takewhile(lambda pair: pair[0] == pair[1], pairs))
        assert storage.last_matching_position(runs, len(replica)) == equal


def test_truncation_rebuilds_tables_and_survives_a_restart(tmp_path: Path) -> None:
    """Guards against rows of removed entries that remain visible, also after a restart."""
    storage = Storage("a", tmp_path / "a.sqlite")
    statements = ["CREATE TABLE t (n)", "INSERT INTO t VALUES (1)", "INSERT INTO t VALUES (2)"]
    bodies = [EntryBody(((sql, ()),)) for sql in statements]
    storage.append_received([Entry(n, 1, body) for n, body in enumerate(bodies, 1)])
    storage.apply(3)
    storage.truncate(2)
    for reopened in (storage, Storage("a", tmp_path / "a.sqlite")):
        assert (reopened.last_position.position, reopened.applied_position) == (2, 2)
        assert reopened._database.execute("SELECT n FROM t").fetchall() == [(1,)]
