"""Demonstration of two entry daemons under a mixed load with injected failures."""
