"""Proofs that the product keeps its promises and naive versions do not."""
