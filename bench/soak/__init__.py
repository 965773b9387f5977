"""Soak of the session proxy: processes under overlapping troubles, judged by what callers saw."""
