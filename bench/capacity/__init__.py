"""Capacity: slopes measured on this machine and their projection to the planned size."""
