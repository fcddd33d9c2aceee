"""Tests of wagtailusher_wire."""
