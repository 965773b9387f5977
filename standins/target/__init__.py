"""Stand-in for a target: one instance of a database group on sqlite3."""
