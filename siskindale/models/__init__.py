"""Data classes shared by the programs, without processing logic."""
