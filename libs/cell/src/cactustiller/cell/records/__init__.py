"""State of a cell at its owner, and its stored form; no I/O."""
