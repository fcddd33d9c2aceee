"""Tests of wagtailusher_once."""
