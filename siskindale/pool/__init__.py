"""Connections to targets: admission, routing, transactions, acknowledgement."""
