"""Measurements; each prints its conditions and one JSON object."""
