"""Scaffolding that starts a whole cell on one machine."""
