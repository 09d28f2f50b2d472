"""Stand-ins shared by the review cases: platform store, executors, clients."""
