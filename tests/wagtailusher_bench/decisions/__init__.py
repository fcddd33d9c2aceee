"""Tests of the measurement of decisions."""
