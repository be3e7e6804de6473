"""Measurements of the product and of naive versions."""
