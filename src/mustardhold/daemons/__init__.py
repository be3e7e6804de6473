"""Trio processes that run the systems: sockets, HTTP, timers and disk."""
