"""Session proxy of a VM: client sessions, shared connections to targets, and failover."""
