"""Measures the decisions against two baselines on the same seeded workloads."""
