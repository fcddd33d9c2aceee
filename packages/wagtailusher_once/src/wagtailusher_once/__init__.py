"""At-most-once execution by ticket and home node, and quarantine, without sockets."""
