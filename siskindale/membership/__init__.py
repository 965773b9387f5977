"""Directory of the VMs, and assignment of groups to VMs."""
