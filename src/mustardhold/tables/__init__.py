"""Entities and typed messages, without behaviour."""
