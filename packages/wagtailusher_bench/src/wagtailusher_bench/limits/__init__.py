"""Simulation of ways in which a fleet keeps to the limit that an endpoint names.

`python -m wagtailusher_bench.limits` prints what each way sends and leaves unused.
"""
