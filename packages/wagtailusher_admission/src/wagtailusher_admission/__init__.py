"""Admission: tiers, classes, workspaces, queues, quotas and shedding, without sockets."""
