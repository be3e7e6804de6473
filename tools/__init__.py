"""Demo, proofs, measurements, soak and checks of the project."""
