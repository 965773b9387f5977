"""Load and experiment tool; the only part that starts processes."""
