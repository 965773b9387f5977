"""Tests of the pool."""
