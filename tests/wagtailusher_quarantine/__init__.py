"""Tests of wagtailusher_quarantine."""
