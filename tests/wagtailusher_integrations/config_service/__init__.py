"""Tests of the configuration service's reader."""
