"""Decisions of the pool as functions over tables, without I/O."""
