"""Settings of session proxies for tests."""

from typing import Any

from siskindale.models.address import Address
from siskindale.models.vm import ProxySettings

ADDRESS_FIELDS = ("clients", "readiness", "peers", "store", "promotions", "forwarding")


def build_settings(vm: str = "vm1", failure_domain: str = "east", **fields: Any) -> ProxySettings:
    """Returns settings whose addresses differ only in the port."""
    addresses = {
        name: Address("127.0.0.1", 9000 + index) for index, name in enumerate(ADDRESS_FIELDS)
    }
    return ProxySettings(vm, failure_domain, **{**addresses, **fields})
