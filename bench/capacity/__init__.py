"""Capacity: slopes measured on this machine and the arithmetic at the size of the target."""
