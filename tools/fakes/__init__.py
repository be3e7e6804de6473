"""Simulated clocks, disks, networks and processes for tests and proofs."""
