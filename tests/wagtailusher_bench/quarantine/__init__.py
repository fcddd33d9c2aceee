"""Tests of the comparison of ways to find what crashes endpoints."""
