"""Decision logic: plain functions over tables, without I/O."""
