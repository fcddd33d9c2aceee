"""Tests of wagtailusher_liveness."""
