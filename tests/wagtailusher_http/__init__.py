"""Tests of wagtailusher_http."""
