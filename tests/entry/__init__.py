"""Tests of the entry: the callers' API and forwarding."""
