"""Measurements of a cell on one machine."""
