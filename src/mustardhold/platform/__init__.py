"""Runs mustardhold on the users' platform: codecs and wiring, no decisions."""
