"""Formatting of results and errors for terminals and scripts."""
