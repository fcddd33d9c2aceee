"""Tests of wagtailusher_daemon."""
