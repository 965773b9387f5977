"""Audit rows: one for each accepted bundle, in a hash chain.

Each row holds the hash of the previous row, and the head row holds the hash of the last one, so
changed, missing, reordered and removed rows are detected. The sequence number of a row is the
version that it records.
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
    """Record of one operation; `at` is in seconds since the epoch.

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


def row_key(sequence: int) -> str:
    """Returns the key of a row; the order of keys is that of sequence numbers."""
    return str(sequence).zfill(KEY_DIGITS)


def with_hash(row: AuditRow) -> AuditRow:
    """Returns a copy of the row with its hash set."""
    return attrs.evolve(row, hash=_row_hash(row))


def to_value(row: AuditRow) -> dict[str, object]:
    """Returns the value to store in the table service."""
    return attrs.asdict(row)


def from_value(value: dict[str, object]) -> AuditRow:
    """Returns the row of a stored value; raises `msgspec.ValidationError` if it is invalid."""
    return msgspec.convert(value, AuditRow)


def valid_rows(rows: Iterable[Row]) -> list[AuditRow]:
    """Returns the valid audit rows by sequence number; `verify` reports the others."""
    audit_rows = []
    for row in rows:
        with contextlib.suppress(msgspec.ValidationError):
            audit_rows.append(from_value(row.value))
    return sorted(audit_rows, key=lambda row: row.sequence)


def verify(rows: Sequence[Row], version: int, last_hash: str) -> list[Finding]:
    """Returns the findings; `version` and `last_hash` come from the head row."""
    rows_by_key = {row.key: row for row in rows if not row.deleted}
    findings: list[Finding] = []
    chain_hash = ""
    for sequence in range(1, version + 1):
        row = rows_by_key.pop(row_key(sequence), None)
        if row is None:
            findings.append(Finding(_place(row_key(sequence)), "the row is missing"))
            chain_hash = ""
            continue
        problems, chain_hash = _check_row(row, sequence, chain_hash)
        findings += [Finding(_place(row.key), problem) for problem in problems]
    if version and chain_hash and chain_hash != last_hash:
        findings.append(
            Finding(_place(row_key(version)), "its hash does not match the hash in the head")
        )
    return findings + [
        Finding(_place(key), "the row is after the head") for key in sorted(rows_by_key)
    ]


def _check_row(row: Row, sequence: int, chain_hash: str) -> tuple[list[str], str]:
    """Returns the problems of a row and its hash.

    `chain_hash` is the hash of the previous row, empty for the first row and after a missing or
    invalid one.
    """
    try:
        value = from_value(row.value)
    except msgspec.ValidationError as error:
        return [f"the row is not an audit row: {error}"], ""
    return list(_row_problems(value, sequence, chain_hash)), value.hash


def _row_problems(row: AuditRow, sequence: int, chain_hash: str) -> Iterator[str]:
    if row.hash != _row_hash(row):
        yield "the row was changed: its hash does not match"
    if row.sequence != sequence:
        yield f"the row was moved: its sequence number is {row.sequence}"
    if (chain_hash or sequence == 1) and row.previous_hash != chain_hash:
        yield "the row does not contain the hash of the previous row"


def _row_hash(row: AuditRow) -> str:
    return digest_of(msgspec.json.encode(attrs.evolve(row, hash=""), order="sorted"))


def _place(key: str) -> str:
    return f"{AUDIT_TABLE}/{key}"
