"""Compares the planner with two baseline schedulers on the same seeded workloads."""
