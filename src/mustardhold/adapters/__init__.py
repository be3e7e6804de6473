"""Codecs, disk, settings, logs and metrics."""
