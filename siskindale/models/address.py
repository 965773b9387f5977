"""Network addresses."""

import attrs


@attrs.frozen
class Address:
    """TCP address; `host` is an IP address."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @property
    def inbox_url(self) -> str:
        """URL of a message inbox at this address."""
        return f"tcp://{self.host}:{self.port}"
