"""Tests of wagtailusher_membership."""
