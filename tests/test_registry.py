"""Registry of implementations."""

import pytest

from siskindale.registry import Registry


def test_duplicate_name_is_rejected() -> None:
    """Guards against one driver silently replacing another."""
    registry: Registry[int] = Registry("driver")
    registry.register("http")(1)
    with pytest.raises(ValueError, match="registered twice"):
        registry.register("http")(2)


def test_unknown_name_lists_known_names() -> None:
    """Guards against an error that does not say which drivers exist."""
    registry: Registry[int] = Registry("driver")
    registry.register("http")(1)
    with pytest.raises(KeyError, match="known: http"):
        registry.get("htpp")
