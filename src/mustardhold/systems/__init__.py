"""Decisions: plain functions over tables, without input or output."""
