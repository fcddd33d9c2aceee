"""Tests of wagtailusher_client."""
