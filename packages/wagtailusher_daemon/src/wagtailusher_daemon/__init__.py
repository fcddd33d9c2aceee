"""The entry daemon: flags, wiring, metrics, traces and signals."""
