"""Which workspace a caller belongs to, and whether its key still holds.

Load pattern: keys are taken away while their clients are connected, and some VMs cannot reach the
store at that time. Such a VM must stop to accept keys before it could run a statement of a key that
a catalog has taken away, which it has not heard of.
"""

import attrs

from siskindale.models.catalog import Catalog, Route
from siskindale.models.statements import ErrorCode
from siskindale.models.vm import ProxySettings

# Time for a statement from the check of its key until it is sent to a target.
REVOCATION_MARGIN_S = 0.2


@attrs.frozen
class Caller:
    """Whose statement it is; `error` says why it is refused, if it is.

    `workspace` is empty on routes that need no key, and where callers are not told apart.
    """

    workspace: str = ""
    error: ErrorCode | None = None
    reason: str = ""


def identify(
    catalog: Catalog, route: Route, key: str, catalog_age_s: float, settings: ProxySettings
) -> Caller:
    """Returns whose statement it is by the key of its client.

    `catalog_age_s` is the time since the store is known to have had no newer catalog.
    """
    if catalog.workspaces is None or route.anonymous:
        return Caller()
    workspace = catalog.workspaces_by_key.get(key)
    if workspace is None:
        return Caller(error=ErrorCode.UNAUTHORIZED, reason="unknown key")
    if settings.strict_revoke and catalog_age_s > settings.revoke_s - REVOCATION_MARGIN_S:
        return Caller(workspace.name, ErrorCode.OVERLOADED, "configuration not confirmed")
    return Caller(workspace.name)
