"""Bundle files, which are unsigned drafts or signed bundles, and their differences."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import attrs
import msgspec
from returns.result import Failure, Result

from siskindale.config.checks import check_bundle
from siskindale.config.findings import Finding
from siskindale.config.loader import read_json
from siskindale.config.structuring import structure
from siskindale.models.address import Address
from siskindale.models.bundle import (
    Bundle,
    Caller,
    Group,
    SignedBundle,
    StatementClass,
    Target,
)
from siskindale.output.listing import Listing


def read_draft(path: Path) -> Result[SignedBundle, tuple[Finding, ...]]:
    """Loads a draft or a signed bundle; a draft has no signatures."""
    return read_json(path).bind(lambda document: _structure_draft(document, str(path)))


def check_draft(signed: SignedBundle, source: str, previous: Bundle | None) -> tuple[Finding, ...]:
    """Returns all findings of a draft, and of its change from the previous bundle if given."""
    return check_bundle(signed.bundle, source, previous)


def to_text(value: Bundle | SignedBundle) -> str:
    """Returns indented JSON with the fields in the order of their definition."""
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


def next_draft(current: Bundle, digest: str) -> Bundle:
    """Returns a draft of the next version with the content of the bundle in effect."""
    return attrs.evolve(current, version=current.version + 1, previous=digest)


def first_draft() -> Bundle:
    """Returns a draft of version 1 with one group on loopback addresses."""
    targets = tuple(
        Target(
            name=f"example-{number}",
            failure_domain=f"domain-{number}",
            data=Address("127.0.0.1", 30_000 + 2 * number),
            control=Address("127.0.0.1", 30_001 + 2 * number),
        )
        for number in (1, 2, 3)
    )
    return Bundle(
        version=1,
        groups=(Group("example", targets),),
        classes=(StatementClass("default", min_share=1.0),),
        callers=(Caller("example-caller", "0" * 64, ("example",), ("default",)),),
    )


def list_differences(before: Bundle | None, after: Bundle) -> Listing:
    """Lists every field that differs; list entries are matched by name."""
    old = dict(_flatten(msgspec.to_builtins(before), "$")) if before else {}
    new = dict(_flatten(msgspec.to_builtins(after), "$"))
    paths = [*new, *(path for path in old if path not in new)]
    rows = ((path, old.get(path), new.get(path)) for path in paths)
    changed = tuple(row for row in rows if row[1] != row[2])
    return Listing(("path", "before", "after"), changed, "no difference")


def _flatten(value: Any, path: str) -> Iterator[tuple[str, Any]]:
    if isinstance(value, dict):
        for name, member in value.items():
            yield from _flatten(member, f"{path}.{name}")
    elif isinstance(value, list | tuple) and any(isinstance(item, dict) for item in value):
        for index, item in enumerate(value):
            yield from _flatten(item, f"{path}[{item.get('name', index)}]")
        yield f"{path} order", [item.get("name", index) for index, item in enumerate(value)]
    else:
        yield path, value


def _structure_draft(document: Any, source: str) -> Result[SignedBundle, tuple[Finding, ...]]:
    if isinstance(document, dict) and "bundle" in document:
        return structure(document, SignedBundle, source)
    draft = structure(document, Bundle, source)
    return Failure(draft.failure()) if isinstance(draft, Failure) else draft.map(SignedBundle)
