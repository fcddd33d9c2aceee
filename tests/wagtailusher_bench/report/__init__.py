"""Tests of wagtailusher_bench.report."""
