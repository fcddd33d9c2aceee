"""Endpoint choice, stewards, leases, cold start and stragglers, without sockets."""
