"""Stand-ins for external systems that listen on loopback sockets."""
