"""Tests of loading and checking settings and bundles."""
