"""Random schedules of nodes, callers and an endpoint, in memory and virtual time."""
