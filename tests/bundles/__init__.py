"""Bundles: signing, rolling, following, audit."""
