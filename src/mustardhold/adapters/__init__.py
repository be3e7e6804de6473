"""Codecs, HTTP, disk, settings, logs and metrics."""
