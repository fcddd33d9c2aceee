"""Fleet membership, failure suspicion and configuration spread, without sockets."""
