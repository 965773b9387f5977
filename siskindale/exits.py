"""Exit statuses of all programs."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit statuses that scripts can rely on."""

    SUCCESS = 0
    ERROR = 1
    INVALID_INPUT = 2
    REFUSED = 3
    OUTCOME_UNKNOWN = 4
