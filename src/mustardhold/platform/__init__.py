"""Integration with the users' platform: codecs and wiring, no decisions."""
