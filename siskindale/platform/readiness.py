"""Path at which the platform probes whether a VM accepts new connections."""

READINESS_PATH = "/v1/ready"
