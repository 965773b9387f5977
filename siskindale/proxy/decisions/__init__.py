"""Decision logic of the session proxy: functions on its in-memory state, without I/O."""
