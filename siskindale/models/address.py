"""Network addresses."""

import attrs


@attrs.frozen
class Address:
    """TCP address; `host` is an IP address."""

    host: str
    port: int

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
