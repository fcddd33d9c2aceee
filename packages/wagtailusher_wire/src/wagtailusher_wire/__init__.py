"""Messages between the system's own processes and their codecs."""
