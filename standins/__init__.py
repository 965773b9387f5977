"""Stand-ins for external systems; never imported by siskindale itself."""
