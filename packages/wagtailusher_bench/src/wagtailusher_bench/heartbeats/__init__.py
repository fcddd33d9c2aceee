"""Simulation of ways in which the VMs of a large fleet hear of each other.

`python -m wagtailusher_bench.heartbeats` prints what each way sends, and what VMs miss.
"""
