"""Independent test doubles of the callers, backend servers and fabric."""
