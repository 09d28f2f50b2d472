"""Measurements on one machine, each printing one JSON line at its end."""
