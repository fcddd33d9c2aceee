"""Tests of wagtailusher."""
