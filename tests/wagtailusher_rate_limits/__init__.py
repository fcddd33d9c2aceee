"""Tests of wagtailusher_rate_limits."""
