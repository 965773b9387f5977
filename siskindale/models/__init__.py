"""Data definitions shared by the programs; no processing."""
