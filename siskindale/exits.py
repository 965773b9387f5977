"""Exit statuses of all programs."""

import enum


class ExitStatus(enum.IntEnum):
    """Stable exit statuses, for use in scripts."""

    SUCCESS = 0
    ERROR = 1
    INVALID_INPUT = 2
    REFUSED = 3
    OUTCOME_UNKNOWN = 4
