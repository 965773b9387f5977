"""Stand-ins for outside systems; never imported by the product."""
