"""Tests of wagtailusher_availability."""
