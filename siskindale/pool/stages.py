"""What a request of the pool runs next, how far it is, where it waits, and what timers do."""

import enum


class QueueKind(enum.Enum):
    """Queue that a request waits in.

    Reads and writes at the primary wait separately, as a write may be blocked by locks that do not
    affect a read.
    """

    READ = "read"
    WRITE = "write"
    REPLICA = "replica"


class Stage(enum.Enum):
    """Batch that a request is running or runs next."""

    READ = "read"
    REPLICA_READ = "replica-read"
    WRITE = "write"
    KEY_INSERT = "key-insert"
    KEY_RECORD = "key-record"
    KEY_LOOKUP = "key-lookup"
    SCHEMA = "schema"
    BEGIN = "begin"
    TRANSACTION_STATEMENT = "transaction-statement"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    PRUNE = "prune"


QUEUE_KIND_BY_STAGE = {
    Stage.READ: QueueKind.READ,
    Stage.KEY_LOOKUP: QueueKind.READ,
    Stage.REPLICA_READ: QueueKind.REPLICA,
}


class Phase(enum.Enum):
    """Progress of a request."""

    QUEUED = "queued"
    RUNNING = "running"
    CONFIRMING = "confirming"
    WAITING = "waiting"
    ENDED = "ended"


class TimerKind(enum.Enum):
    """Action of a timer when it is due."""

    DEADLINE = "deadline"
    RETRY = "retry"
    TRANSACTION = "transaction"
    CONFIRM = "confirm"
    POLL = "poll"
    OPEN = "open"
