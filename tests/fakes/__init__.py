"""Fakes of external systems for tests without I/O."""
