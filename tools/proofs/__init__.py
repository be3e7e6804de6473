"""Proofs of the promises, each against a naive version."""
