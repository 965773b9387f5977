"""Adapter to the users' platform: translates its protocols and names into the product's types."""
