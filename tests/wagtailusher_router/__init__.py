"""Tests of wagtailusher_router."""
