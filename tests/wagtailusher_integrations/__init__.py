"""Tests of wagtailusher_integrations."""
