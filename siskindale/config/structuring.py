"""Strict structuring of decoded JSON into attrs classes, without conversion between types.

All errors are reported at once, each with its path and with what is expected.
"""

import difflib
import enum
import math
import types
from collections.abc import Callable
from typing import Any, TypeVar, get_args, get_origin

import attrs
import cattrs
from cattrs.errors import ClassValidationError, ForbiddenExtraKeysError, IterableValidationError
from cattrs.gen import make_dict_structure_fn
from returns.result import Failure, Result, Success

from siskindale.config.findings import Finding

T = TypeVar("T")
Hook = Callable[[Any, Any], Any]

_TYPE_NAMES: dict[type, str] = {
    bool: "true or false",
    int: "a whole number",
    float: "a number",
    str: "a string",
    list: "a list",
    dict: "an object",
    type(None): "null",
}


class Mismatch(ValueError):  # noqa: N818 - caught within this module only
    """A value has the wrong type or is not one of the allowed values."""

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(problem)
        self.problem = problem
        self.remedy = remedy


def structure(decoded: object, cls: type[T], source: str) -> Result[T, tuple[Finding, ...]]:
    """Returns decoded JSON as an instance of `cls`; fails with all findings and their paths."""
    try:
        return Success(_CONVERTER.structure(decoded, cls))
    except Exception as error:
        return Failure(tuple(_to_findings(error, f"{source}: $", None)))


def suggest_remedy(name: str, known: list[str] | tuple[str, ...]) -> str:
    """Returns the remedy for an unknown name: the closest known name, or all known names."""
    matches = difflib.get_close_matches(name, known, n=1)
    if matches:
        return f"did you mean {matches[0]!r}?"
    return f"known: {', '.join(known)}" if known else "none is defined"


def _to_findings(error: BaseException, path: str, expected_type: Any) -> list[Finding]:
    if isinstance(error, ClassValidationError | IterableValidationError):
        noted_errors, other_errors = error.group_exceptions()
        findings_with_path = [
            finding
            for nested_error, note in noted_errors
            for finding in _to_findings(nested_error, path + _path_step(note), note.type)
        ]
        return findings_with_path + [
            f
            for nested_error in other_errors
            for f in _to_findings(nested_error, path, expected_type)
        ]
    if isinstance(error, ForbiddenExtraKeysError):
        return [_unknown_field_finding(path, name, error.cl) for name in sorted(error.extra_fields)]
    return [_to_finding(error, path, expected_type)]


def _path_step(note: Any) -> str:
    return f".{note.name}" if hasattr(note, "name") else f"[{note.index!r}]"


def _to_finding(error: BaseException, path: str, expected_type: Any) -> Finding:
    if isinstance(error, KeyError):
        return Finding(path, "the field is missing", f"add {_describe_type(expected_type)}")
    if isinstance(error, Mismatch):
        return Finding(path, error.problem, error.remedy)
    return Finding(path, f"invalid value: {error}")


def _unknown_field_finding(path: str, name: str, cls: type) -> Finding:
    known = [field.name for field in attrs.fields(cls)]
    return Finding(f"{path}.{name}", "unknown field", suggest_remedy(name, known))


def _describe_type(expected_type: Any) -> str:
    if expected_type in _TYPE_NAMES:
        return _TYPE_NAMES[expected_type]
    if get_origin(expected_type) is tuple:
        return _TYPE_NAMES[list]
    if isinstance(expected_type, type) and issubclass(expected_type, enum.Enum):
        return " or ".join(repr(member.value) for member in expected_type)
    if isinstance(expected_type, type) and attrs.has(expected_type):
        required = [f.name for f in attrs.fields(expected_type) if f.default is attrs.NOTHING]
        return f"an object with {', '.join(required)}" if required else _TYPE_NAMES[dict]
    return "a value"


def _type_mismatch(value: object, expected_type: Any) -> Mismatch:
    actual_type = _TYPE_NAMES.get(type(value), type(value).__name__)
    return Mismatch(f"is {actual_type}", f"expected {_describe_type(expected_type)}")


def _scalar_hook(*accepted_types: type) -> Hook:
    def hook(value: Any, expected_type: Any) -> Any:
        if issubclass(expected_type, enum.Enum):  # cattrs uses the hook of `str` for a `StrEnum`.
            return _structure_enum(value, expected_type)
        if type(value) not in accepted_types:
            raise _type_mismatch(value, expected_type)
        if isinstance(value, float) and not math.isfinite(value):
            raise Mismatch("is not finite", "expected a finite number")
        return expected_type(value)

    return hook


def _structure_enum(value: Any, expected_type: Any) -> Any:
    values = [member.value for member in expected_type]
    if value not in values:
        raise Mismatch(f"unknown value {value!r}", suggest_remedy(str(value), values))
    return expected_type(value)


def _attrs_hook(cls: Any, converter: Any) -> Hook:
    structure_attrs = make_dict_structure_fn(cls, converter, _cattrs_forbid_extra_keys=True)

    def hook(value: Any, expected_type: Any) -> Any:
        if not isinstance(value, dict):
            raise _type_mismatch(value, expected_type)
        return structure_attrs(value, expected_type)

    return hook


def _list_hook(expected_type: Any, converter: Any) -> Hook:
    items: Any = types.GenericAlias(list, get_args(expected_type)[:1])

    def hook(value: Any, expected_type: Any) -> Any:
        if not isinstance(value, list | tuple):
            raise _type_mismatch(value, expected_type)
        return tuple(converter.structure(value, items))

    return hook


def _is_variadic_tuple(expected_type: Any) -> bool:
    return get_origin(expected_type) is tuple and get_args(expected_type)[-1] is Ellipsis


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for expected_type, hook in (
        (int, _scalar_hook(int)),
        (float, _scalar_hook(int, float)),
        (str, _scalar_hook(str)),
        (bool, _scalar_hook(bool)),
    ):
        converter.register_structure_hook(expected_type, hook)
    converter.register_structure_hook_factory(attrs.has)(_attrs_hook)
    converter.register_structure_hook_factory(_is_variadic_tuple)(_list_hook)
    return converter


_CONVERTER = _make_converter()
