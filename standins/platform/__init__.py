"""Stand-in for the platform: table service, object store, live list."""
