"""Tests of the platform services of the product's own interface."""
