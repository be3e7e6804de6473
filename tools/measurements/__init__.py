"""Measurements of the product, beside naive versions."""
