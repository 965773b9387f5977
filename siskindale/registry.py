"""Registries of interchangeable implementations, filled by a decorator."""

from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Implementations by name; `kind` is the term for them in error messages."""

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._items: dict[str, T] = {}

    @property
    def names(self) -> tuple[str, ...]:
        """Registered names, in order of registration."""
        return tuple(self._items)

    def register(self, name: str) -> Callable[[T], T]:
        """Registers the decorated object under `name`."""

        def decorate(item: T) -> T:
            if name in self._items:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._items[name] = item
            return item

        return decorate

    def get(self, name: str) -> T:
        """Returns the implementation, or raises `KeyError` with the known names."""
        if name not in self._items:
            raise KeyError(f"unknown {self._kind} {name!r}, known: {', '.join(self._items)}")
        return self._items[name]
