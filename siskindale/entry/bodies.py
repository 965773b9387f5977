"""Bodies of the callers' API and their decoding with all findings."""

from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta, Struct
from returns.result import Failure, Result, Success

from siskindale.config.findings import Finding
from siskindale.models.wire import Answer

# Larger integers do not fit MessagePack and no database column.
Integer = Annotated[int, Meta(ge=-(2**63), le=2**63 - 1)]
Parameter = None | bool | Integer | float | str
Text = Annotated[str, Meta(min_length=1)]


class StatementBody(Struct, forbid_unknown_fields=True):
    """One statement in a transaction of its own."""

    sql: Text
    access: Literal["read", "write"]
    statement_class: Text = msgspec.field(name="class")
    params: tuple[Parameter, ...] = ()
    max_age_ms: Annotated[float, Meta(ge=0)] | None = None


class BeginBody(Struct, forbid_unknown_fields=True):
    """Opening of a transaction."""

    statement_class: Text = msgspec.field(name="class")


class TransactionStatementBody(Struct, forbid_unknown_fields=True):
    """One statement of a transaction."""

    sql: Text
    params: tuple[Parameter, ...] = ()


class FinishBody(Struct, forbid_unknown_fields=True):
    """Commit or rollback."""


T = TypeVar("T", bound=Struct)

_DECODERS: dict[type[Struct], msgspec.json.Decoder[Any]] = {
    cls: msgspec.json.Decoder(cls)
    for cls in (StatementBody, BeginBody, TransactionStatementBody, FinishBody)
}


def decode(cls: type[T], raw: bytes) -> Result[T, tuple[Finding, ...]]:
    """Decodes a body; fails with a finding for each wrong field."""
    if cls is FinishBody and not raw:
        return Success(cls())
    try:
        return Success(_DECODERS[cls].decode(raw))
    except (msgspec.DecodeError, RecursionError) as error:
        return Failure(_findings(cls, raw) or (Finding("body", str(error)),))


def _findings(cls: type[Struct], raw: bytes) -> tuple[Finding, ...]:
    """Decodes field by field, because msgspec stops at the first fault."""
    try:
        content = msgspec.json.decode(raw, type=dict[str, msgspec.Raw])
    except (msgspec.DecodeError, RecursionError) as error:
        return (Finding("body", str(error)),)
    fields = {field.encode_name: field for field in msgspec.structs.fields(cls)}
    unknown = [Finding(f"body.{name}", "unknown field") for name in content if name not in fields]
    faults = [_fault(field, content) for field in fields.values()]
    return (*unknown, *(fault for fault in faults if fault is not None))


def _fault(field: msgspec.structs.FieldInfo, content: dict[str, msgspec.Raw]) -> Finding | None:
    place = f"body.{field.encode_name}"
    if field.encode_name not in content:
        return Finding(place, "missing") if field.required else None
    try:
        msgspec.json.decode(content[field.encode_name], type=field.type)
    except (msgspec.DecodeError, RecursionError) as error:
        problem, _, path = str(error).partition(" - at `$")
        return Finding(place + path.rstrip("`"), problem)
    return None


def encode_done(answer: Answer) -> bytes:
    """Encodes the answer to a statement, a commit or a rollback."""
    content: dict[str, Any] = {"outcome": answer.outcome}
    if answer.result is not None:
        content["columns"] = answer.result.columns
        content["rows"] = answer.result.rows
        content["row_count"] = answer.result.row_count
    if answer.target:
        content["served_by"] = {"target": answer.target, "role": answer.role}
    if answer.age_ms is not None:
        content["age_ms"] = answer.age_ms
    return msgspec.json.encode(content)


def encode_begun(answer: Answer) -> bytes:
    """Encodes the answer to the opening of a transaction."""
    return msgspec.json.encode({"outcome": answer.outcome, "transaction": answer.transaction})
