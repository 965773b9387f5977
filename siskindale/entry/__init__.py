"""Callers' API: sessions, forwarding to pools and matching of answers to requests."""
