"""Loading and checking of settings and bundles."""
