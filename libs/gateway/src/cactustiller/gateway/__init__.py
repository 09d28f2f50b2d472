"""Placeholder filled in by the thin path."""
