"""Stand-in for a target: one member of a database group, based on sqlite3."""
