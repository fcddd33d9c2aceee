"""Tests of wagtailusher_bench."""
