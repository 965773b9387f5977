"""Signing, rolling, following and auditing of bundles."""
