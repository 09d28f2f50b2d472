"""Model-checked specifications of the protocols between our daemons."""
