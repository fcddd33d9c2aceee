"""Tests of wagtailusher_placement."""
