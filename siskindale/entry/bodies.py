"""Request and response bodies of the callers' API; decoding collects all findings."""

from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta, Struct
from returns.result import Failure, Result, Success

from siskindale.config.findings import Finding
from siskindale.models.wire import Answer

# Integers outside this range fit neither MessagePack nor a database column.
Int64 = Annotated[int, Meta(ge=-(2**63), le=2**63 - 1)]
Parameter = None | bool | Int64 | float | str
NonEmptyText = Annotated[str, Meta(min_length=1)]


class StatementBody(Struct, forbid_unknown_fields=True):
    """One statement in its own transaction."""

    sql: NonEmptyText
    access: Literal["read", "write"]
    statement_class: NonEmptyText = msgspec.field(name="class")
    params: tuple[Parameter, ...] = ()
    max_age_ms: Annotated[float, Meta(ge=0)] | None = None


class BeginBody(Struct, forbid_unknown_fields=True):
    """Start of a transaction."""

    statement_class: NonEmptyText = msgspec.field(name="class")


class TransactionStatementBody(Struct, forbid_unknown_fields=True):
    """One statement of an open transaction."""

    sql: NonEmptyText
    params: tuple[Parameter, ...] = ()


class FinishBody(Struct, forbid_unknown_fields=True):
    """Commit or rollback; the body may be empty."""


T = TypeVar("T", bound=Struct)

_DECODERS: dict[type[Struct], msgspec.json.Decoder[Any]] = {
    cls: msgspec.json.Decoder(cls)
    for cls in (StatementBody, BeginBody, TransactionStatementBody, FinishBody)
}


def decode(cls: type[T], raw: bytes) -> Result[T, tuple[Finding, ...]]:
    """Decodes a body; on failure, returns one finding for each invalid field."""
    if cls is FinishBody and not raw:
        return Success(cls())
    try:
        return Success(_DECODERS[cls].decode(raw))
    except (msgspec.DecodeError, RecursionError) as error:
        return Failure(_findings(cls, raw) or (Finding("body", str(error)),))


def _findings(cls: type[Struct], raw: bytes) -> tuple[Finding, ...]:
    """Decodes each field separately, because msgspec stops at the first error."""
    try:
        content = msgspec.json.decode(raw, type=dict[str, msgspec.Raw])
    except (msgspec.DecodeError, RecursionError) as error:
        return (Finding("body", str(error)),)
    fields = {field.encode_name: field for field in msgspec.structs.fields(cls)}
    unknown = [Finding(f"body.{name}", "unknown field") for name in content if name not in fields]
    invalid = [_check_field(field, content) for field in fields.values()]
    return (*unknown, *(finding for finding in invalid if finding is not None))


def _check_field(
    field: msgspec.structs.FieldInfo, content: dict[str, msgspec.Raw]
) -> Finding | None:
    place = f"body.{field.encode_name}"
    if field.encode_name not in content:
        return Finding(place, "missing") if field.required else None
    try:
        msgspec.json.decode(content[field.encode_name], type=field.type)
    except (msgspec.DecodeError, RecursionError) as error:
        problem, _, path = str(error).partition(" - at `$")
        return Finding(place + path.rstrip("`"), problem)
    return None


def encode_result(answer: Answer) -> bytes:
    """Encodes the response to a statement, a commit or a rollback."""
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


def encode_transaction(answer: Answer) -> bytes:
    """Encodes the response to the start of a transaction."""
    return msgspec.json.encode({"outcome": answer.outcome, "transaction": answer.transaction})
