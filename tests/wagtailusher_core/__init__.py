"""Tests of wagtailusher_core."""
