"""Randomized soak test: real entry processes on loopback with injected external faults."""
