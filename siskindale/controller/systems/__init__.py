"""Decisions of the controller as functions over tables, without I/O."""
