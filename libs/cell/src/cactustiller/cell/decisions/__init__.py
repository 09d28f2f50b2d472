"""Decisions of the owner: functions of its state, without I/O."""
