"""Directory entry of a VM."""

import attrs

from siskindale.models.address import Address


@attrs.frozen
class Member:
    """VM with the inbox addresses of its programs."""

    vm: str
    failure_domain: str
    region: str
    entry: Address
    pool: Address
    controller: Address

    @property
    def inbox_urls(self) -> tuple[str, str, str]:
        """Inbox URLs of all programs of the VM."""
        return (self.entry.inbox_url, self.pool.inbox_url, self.controller.inbox_url)
