"""Tests of wagtailusher_bench.fleet."""
