"""Authentication and grants by the bundle, and requests in flight by caller.

A bundle is indexed once when it is adopted: it may hold a thousand groups.
"""

import hashlib
from collections import Counter

from returns.result import Failure, Result, Success

from siskindale.entry.problems import Problem, refuse
from siskindale.models.bundle import Bundle, Caller, StatementClass
from siskindale.models.outcomes import RefusalKind

BEARER = "bearer "
IN_FLIGHT_RETRY_MS = 1000


class Access:
    """Callers of the bundle in effect with their requests in flight."""

    def __init__(self) -> None:
        self._callers: dict[str, Caller] = {}
        self._groups: frozenset[str] = frozenset()
        self._classes: dict[str, StatementClass] = {}
        self._max_ages: dict[tuple[str, str], int] = {}
        self._version = 0
        self._in_flight: Counter[str] = Counter()

    def adopt(self, bundle: Bundle) -> None:
        """Takes the grants of a new bundle; requests in flight stay counted."""
        self._callers = {caller.token_sha256.lower(): caller for caller in bundle.callers}
        self._groups = frozenset(group.name for group in bundle.groups)
        self._classes = {found.name: found for found in bundle.classes}
        self._max_ages = {
            (caller.name, name): bundle.max_age_ms(caller.name, name)
            for caller in bundle.callers
            for name in caller.classes
        }
        self._version = bundle.version

    @property
    def version(self) -> int:
        """Version of the bundle, 0 before the first one."""
        return self._version

    @property
    def groups(self) -> frozenset[str]:
        """Names of the groups of the bundle."""
        return self._groups

    def authenticate(self, authorization: str | None) -> Result[Caller, Problem]:
        """Returns the caller of a bearer token."""
        if not authorization or authorization[: len(BEARER)].lower() != BEARER:
            return Failure(refuse(RefusalKind.UNAUTHENTICATED, "a bearer token is required"))
        token = authorization[len(BEARER) :].strip()
        # Tokens are looked up by hash, so the time taken tells nothing of known tokens.
        caller = self._callers.get(hashlib.sha256(token.encode("latin-1")).hexdigest())
        if caller is None:
            return Failure(refuse(RefusalKind.UNAUTHENTICATED, "the bearer token is not known"))
        return Success(caller)

    def enter(self, caller: Caller) -> Problem | None:
        """Counts a request of a caller in; refuses it at the caller's limit."""
        if self._in_flight[caller.name] >= caller.max_in_flight:
            detail = f"{caller.max_in_flight} requests of {caller.name} are in flight"
            return refuse(RefusalKind.OVERLOADED, detail, IN_FLIGHT_RETRY_MS)
        self._in_flight[caller.name] += 1
        return None

    def leave(self, caller: Caller) -> None:
        """Counts a request of a caller out."""
        self._in_flight[caller.name] -= 1
        if not self._in_flight[caller.name]:
            del self._in_flight[caller.name]

    def group(self, caller: Caller, database: str) -> Result[str, Problem]:
        """Returns the group of a database that the caller may use."""
        if database not in self._groups:
            detail = f"database {database!r} is not known"
            return Failure(refuse(RefusalKind.UNKNOWN_DATABASE, detail))
        if database not in caller.databases:
            detail = f"caller {caller.name!r} may not use database {database!r}"
            return Failure(refuse(RefusalKind.FORBIDDEN, detail))
        return Success(database)

    def statement_class(self, caller: Caller, name: str) -> Result[StatementClass, Problem]:
        """Returns the class of statements that the caller may use."""
        found = self._classes.get(name)
        if found is None or name not in caller.classes:
            detail = f"caller {caller.name!r} may not use class {name!r}"
            return Failure(refuse(RefusalKind.FORBIDDEN, detail))
        return Success(found)

    def max_age_ms(self, caller: Caller, name: str, wanted: float | None) -> float | None:
        """Returns the accepted age of a read: the smaller of the bundle's and the caller's.

        None means a strongly consistent read.
        """
        limit: float = self._max_ages.get((caller.name, name), 0)
        return min(limit, limit if wanted is None else wanted) or None
