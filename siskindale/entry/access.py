"""Authentication, grants of the bundle, and the number of requests in flight by caller.

A bundle is indexed once, when it is adopted, because it may contain a thousand groups.
"""

import hashlib
from collections import Counter

from returns.result import Failure, Result, Success

from siskindale.entry.problems import Problem, refusal_problem
from siskindale.models.bundle import Bundle, Caller, StatementClass
from siskindale.models.outcomes import RefusalKind

BEARER_PREFIX = "bearer "
IN_FLIGHT_RETRY_MS = 1000


class Access:
    """Grants of the bundle in effect, and the requests in flight of each caller."""

    def __init__(self) -> None:
        self._callers: dict[str, Caller] = {}
        self._group_names: frozenset[str] = frozenset()
        self._classes: dict[str, StatementClass] = {}
        self._max_ages_ms: dict[tuple[str, str], int] = {}
        self._bundle_version = 0
        self._in_flight: Counter[str] = Counter()

    def adopt(self, bundle: Bundle) -> None:
        """Replaces the grants by those of a new bundle; counts of requests in flight are kept."""
        self._callers = {caller.token_sha256.lower(): caller for caller in bundle.callers}
        self._group_names = frozenset(group.name for group in bundle.groups)
        self._classes = {item.name: item for item in bundle.classes}
        self._max_ages_ms = {
            (caller.name, name): bundle.effective_max_age_ms(caller.name, name)
            for caller in bundle.callers
            for name in caller.classes
        }
        self._bundle_version = bundle.version

    @property
    def bundle_version(self) -> int:
        """Version of the bundle in effect, 0 before the first one."""
        return self._bundle_version

    @property
    def group_names(self) -> frozenset[str]:
        """Names of the groups in the bundle."""
        return self._group_names

    def authenticate(self, authorization: str | None) -> Result[Caller, Problem]:
        """Returns the caller of a bearer token."""
        if not authorization or authorization[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
            return Failure(
                refusal_problem(RefusalKind.UNAUTHENTICATED, "a bearer token is required")
            )
        token = authorization[len(BEARER_PREFIX) :].strip()
        # The lookup is by hash, so that its duration reveals nothing about known tokens.
        caller = self._callers.get(hashlib.sha256(token.encode("latin-1")).hexdigest())
        if caller is None:
            return Failure(
                refusal_problem(RefusalKind.UNAUTHENTICATED, "the bearer token is not known")
            )
        return Success(caller)

    def start_request(self, caller: Caller) -> Problem | None:
        """Counts a new request in flight; refuses it at the caller's limit."""
        if self._in_flight[caller.name] >= caller.max_in_flight:
            detail = f"{caller.max_in_flight} requests of {caller.name} are in flight"
            return refusal_problem(RefusalKind.OVERLOADED, detail, IN_FLIGHT_RETRY_MS)
        self._in_flight[caller.name] += 1
        return None

    def end_request(self, caller: Caller) -> None:
        """Removes a finished request from the count of requests in flight."""
        self._in_flight[caller.name] -= 1
        if not self._in_flight[caller.name]:
            del self._in_flight[caller.name]

    def granted_group(self, caller: Caller, database: str) -> Result[str, Problem]:
        """Returns the group of a database if the caller may use it."""
        if database not in self._group_names:
            detail = f"database {database!r} is not known"
            return Failure(refusal_problem(RefusalKind.UNKNOWN_DATABASE, detail))
        if database not in caller.databases:
            detail = f"caller {caller.name!r} may not use database {database!r}"
            return Failure(refusal_problem(RefusalKind.FORBIDDEN, detail))
        return Success(database)

    def granted_class(self, caller: Caller, class_name: str) -> Result[StatementClass, Problem]:
        """Returns the statement class of that class_name if the caller may use it."""
        statement_class = self._classes.get(class_name)
        if statement_class is None or class_name not in caller.classes:
            detail = f"caller {caller.name!r} may not use class {class_name!r}"
            return Failure(refusal_problem(RefusalKind.FORBIDDEN, detail))
        return Success(statement_class)

    def effective_max_age_ms(
        self, caller: Caller, class_name: str, requested_ms: float | None
    ) -> float | None:
        """Returns the maximum data age of a read: the lower of the bundle's and the requested one.

        None means a strongly consistent read.
        """
        limit_ms: float = self._max_ages_ms.get((caller.name, class_name), 0)
        return min(limit_ms, limit_ms if requested_ms is None else requested_ms) or None
