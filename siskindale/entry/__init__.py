"""Callers' API: sessions, forwarding to pools, matching of answers."""
