"""Thin trio processes around the library."""
