"""Bytes that a program exchanges, by purpose; headers of TCP and IP are not counted."""

import enum

from siskindale.runtime.counters import Metric

BYTES = Metric("siskindale_traffic_bytes", "Bytes sent and received", ("purpose", "direction"))


class Purpose(enum.StrEnum):
    """What a connection is for; the last three are messages between programs.

    `LOCAL` messages stay within the VM and do not count against its control budget.
    """

    PLATFORM = "platform"
    TARGET_CONTROL = "target-control"
    TARGET_DATA = "target-data"
    STATEMENTS = "statements"
    CONTROL = "control"
    LOCAL = "local"


class Traffic:
    """Counters of one purpose, looked up once because they are used for each message."""

    def __init__(self, purpose: Purpose) -> None:
        self.sent = BYTES.labels(purpose.value, "sent")
        self.received = BYTES.labels(purpose.value, "received")
