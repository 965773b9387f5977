"""Tests of the session proxy."""
