"""Stand-ins of the platform, its workers and backend servers, for tests only."""
