"""Subcommands of the `siskindale` command of operators."""
