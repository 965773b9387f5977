"""Tests by feature."""
