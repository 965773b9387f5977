"""Network addresses."""

import attrs

MAX_PORT = 65535
MAX_LABEL_BYTES = 63


@attrs.frozen
class Address:
    """TCP address; `host` is an IP address."""

    host: str
    port: int

    def __attrs_post_init__(self) -> None:
        """Raises `ValueError` for an address that no socket takes."""
        if not 0 <= self.port <= MAX_PORT:
            raise ValueError(f"not a port: {self.port}")
        printable = self.host.isascii() and self.host.isprintable() and " " not in self.host
        labels = self.host.split(".")
        if not printable or not all(0 < len(label) <= MAX_LABEL_BYTES for label in labels):
            raise ValueError(f"not a host: {self.host!r}")

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Returns the address that HOST:PORT names; raises `ValueError` for anything else."""
        host, _, port = text.rpartition(":")
        if not host:
            raise ValueError(f"not an address: {text!r}")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @property
    def inbox_url(self) -> str:
        """URL of a message inbox at this address."""
        return f"tcp://{self.host}:{self.port}"
