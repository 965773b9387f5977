"""Decisions of the session proxy: functions over rows of its tables, without I/O."""
