"""Small stand-ins of the outside systems, on real sockets."""
