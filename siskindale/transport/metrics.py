"""Bytes that a program exchanges, by purpose; headers of TCP and IP are not counted."""

import enum

from prometheus_client import Counter

BYTES = Counter("siskindale_traffic_bytes", "Bytes sent and received", ("purpose", "direction"))


class Purpose(enum.StrEnum):
    """What a connection is for; `STATEMENTS` and `CONTROL` are messages between programs."""

    PLATFORM = "platform"
    TARGET_CONTROL = "target-control"
    TARGET_DATA = "target-data"
    STATEMENTS = "statements"
    CONTROL = "control"


class Traffic:
    """Counters of one purpose, looked up once because they are used for each message."""

    def __init__(self, purpose: Purpose) -> None:
        self.sent = BYTES.labels(purpose.value, "sent")
        self.received = BYTES.labels(purpose.value, "received")
