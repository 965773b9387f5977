"""Access to the targets of database groups."""
