"""Loads and checks settings and bundles."""
