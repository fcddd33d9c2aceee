"""Tests of wagtailusher_admission."""
