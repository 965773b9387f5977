"""Callers' API and forwarding."""
