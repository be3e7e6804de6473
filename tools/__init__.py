"""Demo, proofs, measurements and checks of the project."""
