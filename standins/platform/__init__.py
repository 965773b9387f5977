"""Stand-in for the platform: table service, object store and live list."""
