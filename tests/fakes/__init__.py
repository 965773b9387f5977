"""Fakes of outside systems for tests without I/O."""
