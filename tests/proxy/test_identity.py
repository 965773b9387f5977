"""Tests of which callers are served, by their keys and the age of the catalog."""

from collections.abc import Callable

import pytest

from siskindale.models.catalog import Catalog, GroupLimits, Route, Workspace
from siskindale.models.statements import ErrorCode
from siskindale.proxy.decisions.identity import REVOCATION_MARGIN_S, identify
from tests.proxy.settings import build_settings

STRICT = build_settings(strict_revoke=True, revoke_s=5.0)


def build_catalog(route: Route, *workspaces: Workspace) -> Catalog:
    by_name = {workspace.name: workspace for workspace in workspaces}
    return Catalog(1, {route.database: route}, {"g": GroupLimits(16)}, workspaces=by_name)


def test_a_key_names_its_workspace(route: Callable[..., Route]) -> None:
    """Guards against statements that run in the name of another workspace."""
    one = Workspace("one", frozenset({"k1", "k2"}))
    other = Workspace("other", frozenset({"k3"}))
    catalog = build_catalog(route(), one, other)
    callers = [identify(catalog, route(), key, 0.1, STRICT) for key in ("k1", "k2", "k3")]
    assert [caller.workspace for caller in callers] == ["one", "one", "other"]


def test_a_key_that_no_workspace_holds_is_refused(route: Callable[..., Route]) -> None:
    """Guards against statements of callers whose key was taken away or never held."""
    catalog = build_catalog(route(), Workspace("one", frozenset()))
    assert identify(catalog, route(), "k1", 0.1, STRICT).error is ErrorCode.UNAUTHORIZED


def test_an_anonymous_route_needs_no_key(route: Callable[..., Route]) -> None:
    """Guards against refusals on a route that everybody may use, also without the store."""
    anonymous = route(anonymous=True)
    caller = identify(build_catalog(anonymous), anonymous, "", 99.0, STRICT)
    assert caller.error is None
    assert caller.workspace == ""


def test_without_workspaces_no_key_is_checked(route: Callable[..., Route]) -> None:
    """Guards against refusals in a deployment that does not tell callers apart."""
    catalog = Catalog(1, {"d": route()}, {"g": GroupLimits(16)})
    assert identify(catalog, route(), "any", 99.0, STRICT).error is None


@pytest.mark.parametrize(("age_s", "refused"), [(4.0, False), (4.9, True), (float("inf"), True)])
def test_keys_are_refused_once_the_catalog_may_have_taken_them_away(
    route: Callable[..., Route], age_s: float, refused: bool
) -> None:
    """Guards against a VM without the store that serves a key for which others refuse."""
    catalog = build_catalog(route(), Workspace("one", frozenset({"k1"})))
    caller = identify(catalog, route(), "k1", age_s, STRICT)
    assert (caller.error is ErrorCode.OVERLOADED) == refused
    assert STRICT.revoke_s - REVOCATION_MARGIN_S > 4.0


def test_without_strict_revocation_the_age_does_not_matter(route: Callable[..., Route]) -> None:
    """Guards against an outage of the store that stops all callers without need."""
    catalog = build_catalog(route(), Workspace("one", frozenset({"k1"})))
    assert identify(catalog, route(), "k1", 99.0, build_settings()).error is None
