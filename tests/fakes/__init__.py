"""In-memory fakes for tests."""
