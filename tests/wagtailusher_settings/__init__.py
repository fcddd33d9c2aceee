"""Tests of wagtailusher_settings."""
