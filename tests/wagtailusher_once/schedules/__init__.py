"""Random schedules of nodes, callers and an endpoint, in memory and in virtual time."""
