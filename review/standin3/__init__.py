"""Stand-ins of the third review, with the standard library only."""
