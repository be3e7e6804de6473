"""Small fakes for the interfaces that decisions depend on."""
