"""What every member does: accept jobs, answer callers, follow the store."""
