"""Tests of the `siskindale` command."""
