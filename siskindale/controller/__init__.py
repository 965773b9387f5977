"""Failure detection, promotion, joining and leaving of targets."""
