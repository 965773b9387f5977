"""Subcommands of the operators' command."""
