"""Probe by which the platform learns whether a VM takes new connections."""

READINESS_PATH = "/v1/ready"
