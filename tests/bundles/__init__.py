"""Tests of bundles: signing, rolling, following and audit."""
