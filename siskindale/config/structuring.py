"""Strict building of attrs classes from decoded JSON: no conversion between types.

Every fault of a value is reported at once, with its path and with what would be right.
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

_KINDS: dict[type, str] = {
    bool: "true or false",
    int: "a whole number",
    float: "a number",
    str: "a string",
    list: "a list",
    dict: "an object",
    type(None): "null",
}


class Mismatch(ValueError):  # noqa: N818 - caught within this module only
    """Value of a wrong type or outside its choices."""

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(problem)
        self.problem = problem
        self.remedy = remedy


def structure(raw: object, cls: type[T], source: str) -> Result[T, tuple[Finding, ...]]:
    """Builds an attrs class from decoded JSON; fails with every finding and its path."""
    try:
        return Success(_CONVERTER.structure(raw, cls))
    except Exception as error:
        return Failure(tuple(_findings(error, f"{source}: $", None)))


def suggest(name: str, known: list[str] | tuple[str, ...]) -> str:
    """Returns the remedy for an unknown name: the closest known one, or all of them."""
    close = difflib.get_close_matches(name, known, n=1)
    if close:
        return f"did you mean {close[0]!r}?"
    return f"known: {', '.join(known)}" if known else "none is defined"


def _findings(error: BaseException, path: str, kind: Any) -> list[Finding]:
    if isinstance(error, ClassValidationError | IterableValidationError):
        with_notes, without = error.group_exceptions()
        nested = [
            finding
            for inner, note in with_notes
            for finding in _findings(inner, path + _step(note), note.type)
        ]
        return nested + [f for inner in without for f in _findings(inner, path, kind)]
    if isinstance(error, ForbiddenExtraKeysError):
        return [_unknown_field(path, name, error.cl) for name in sorted(error.extra_fields)]
    return [_finding(error, path, kind)]


def _step(note: Any) -> str:
    return f".{note.name}" if hasattr(note, "name") else f"[{note.index!r}]"


def _finding(error: BaseException, path: str, kind: Any) -> Finding:
    if isinstance(error, KeyError):
        return Finding(path, "the field is missing", f"add {_expected(kind)}")
    if isinstance(error, Mismatch):
        return Finding(path, error.problem, error.remedy)
    return Finding(path, f"invalid value: {error}")


def _unknown_field(path: str, name: str, cls: type) -> Finding:
    known = [field.name for field in attrs.fields(cls)]
    return Finding(f"{path}.{name}", "unknown field", suggest(name, known))


def _expected(kind: Any) -> str:
    if kind in _KINDS:
        return _KINDS[kind]
    if get_origin(kind) is tuple:
        return _KINDS[list]
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return " or ".join(repr(member.value) for member in kind)
    if isinstance(kind, type) and attrs.has(kind):
        required = [f.name for f in attrs.fields(kind) if f.default is attrs.NOTHING]
        return f"an object with {', '.join(required)}" if required else _KINDS[dict]
    return "a value"


def _mismatch(value: object, kind: Any) -> Mismatch:
    found = _KINDS.get(type(value), type(value).__name__)
    return Mismatch(f"is {found}", f"expected {_expected(kind)}")


def _exactly(*accepted: type) -> Hook:
    def hook(value: Any, kind: Any) -> Any:
        if issubclass(kind, enum.Enum):  # cattrs finds the hook of `str` for a `StrEnum`.
            return _enum(value, kind)
        if type(value) not in accepted:
            raise _mismatch(value, kind)
        if isinstance(value, float) and not math.isfinite(value):
            raise Mismatch("is not finite", "expected a finite number")
        return kind(value)

    return hook


def _enum(value: Any, kind: Any) -> Any:
    choices = [member.value for member in kind]
    if value not in choices:
        raise Mismatch(f"unknown value {value!r}", suggest(str(value), choices))
    return kind(value)


def _object(cls: Any, converter: Any) -> Hook:
    build = make_dict_structure_fn(cls, converter, _cattrs_forbid_extra_keys=True)

    def hook(value: Any, kind: Any) -> Any:
        if not isinstance(value, dict):
            raise _mismatch(value, kind)
        return build(value, kind)

    return hook


def _list(kind: Any, converter: Any) -> Hook:
    items: Any = types.GenericAlias(list, get_args(kind)[:1])

    def hook(value: Any, kind: Any) -> Any:
        if not isinstance(value, list | tuple):
            raise _mismatch(value, kind)
        return tuple(converter.structure(value, items))

    return hook


def _is_list(kind: Any) -> bool:
    return get_origin(kind) is tuple and get_args(kind)[-1] is Ellipsis


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind, hook in (
        (int, _exactly(int)),
        (float, _exactly(int, float)),
        (str, _exactly(str)),
        (bool, _exactly(bool)),
    ):
        converter.register_structure_hook(kind, hook)
    converter.register_structure_hook_factory(attrs.has)(_object)
    converter.register_structure_hook_factory(_is_list)(_list)
    return converter


_CONVERTER = _make_converter()
