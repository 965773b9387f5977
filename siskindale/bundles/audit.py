"""Audit rows: one for each accepted bundle, chained by hashes.

Each row holds the hash of the row before it, and the head row holds the hash of the last one, so a
changed, missing, reordered or removed row is found. A row's sequence number is the version that it
records.
"""

import contextlib
from collections.abc import Iterable, Iterator, Sequence

import attrs
import msgspec

from siskindale.bundles.signing import digest_of
from siskindale.config.findings import Finding
from siskindale.store.interface import Row

AUDIT_TABLE = "audit"
KEY_DIGITS = 12


@attrs.frozen
class AuditRow:
    """Who did what and when; `at` is in seconds since the epoch.

    `before` and `after` are the digests of the bodies of the replaced and the new bundle.
    """

    sequence: int
    operator: str
    action: str
    at: float
    before: str
    after: str
    signers: tuple[str, ...]
    roll_id: str
    previous_hash: str
    hash: str = ""


def key_of(sequence: int) -> str:
    """Returns the key of a row; keys sort by sequence number."""
    return str(sequence).zfill(KEY_DIGITS)


def sealed(row: AuditRow) -> AuditRow:
    """Returns the row with its hash."""
    return attrs.evolve(row, hash=_hash(row))


def to_value(row: AuditRow) -> dict[str, object]:
    """Returns the value that the table service stores."""
    return attrs.asdict(row)


def from_value(value: dict[str, object]) -> AuditRow:
    """Returns the row of a stored value; raises `msgspec.ValidationError` for another one."""
    return msgspec.convert(value, AuditRow)


def readable(rows: Iterable[Row]) -> list[AuditRow]:
    """Returns the rows that are audit rows, in their order; `verify` names the others."""
    found = []
    for row in rows:
        with contextlib.suppress(msgspec.ValidationError):
            found.append(from_value(row.value))
    return sorted(found, key=lambda row: row.sequence)


def verify(rows: Sequence[Row], version: int, last_hash: str) -> list[Finding]:
    """Returns what is wrong with the rows up to the head, which names version and last hash."""
    present = {row.key: row for row in rows if not row.deleted}
    found: list[Finding] = []
    chain = ""
    for sequence in range(1, version + 1):
        row = present.pop(key_of(sequence), None)
        if row is None:
            found.append(Finding(_place(key_of(sequence)), "the row is missing"))
            chain = ""
            continue
        problems, chain = _check(row, sequence, chain)
        found += [Finding(_place(row.key), problem) for problem in problems]
    if version and chain and chain != last_hash:
        found.append(Finding(_place(key_of(version)), "the head names another last row"))
    return found + [Finding(_place(key), "the row is after the head") for key in sorted(present)]


def _check(row: Row, sequence: int, chain: str) -> tuple[list[str], str]:
    """Returns the problems of a row and its hash; `chain` is empty after a missing row."""
    try:
        value = from_value(row.value)
    except msgspec.ValidationError as error:
        return [f"the row is not an audit row: {error}"], ""
    return list(_problems(value, sequence, chain)), value.hash


def _problems(row: AuditRow, sequence: int, chain: str) -> Iterator[str]:
    if row.hash != _hash(row):
        yield "the row was changed: its hash does not match"
    if row.sequence != sequence:
        yield f"the row was moved: it is number {row.sequence}"
    if (chain or sequence == 1) and row.previous_hash != chain:
        yield "the row does not follow the one before it"


def _hash(row: AuditRow) -> str:
    return digest_of(msgspec.json.encode(attrs.evolve(row, hash=""), order="sorted"))


def _place(key: str) -> str:
    return f"{AUDIT_TABLE}/{key}"
