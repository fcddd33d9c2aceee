"""Tests of wagtailusher_cli."""
