"""State, messages, settings and constants, without behaviour."""
