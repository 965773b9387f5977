"""Access to the platform's table service, object store and live list."""
