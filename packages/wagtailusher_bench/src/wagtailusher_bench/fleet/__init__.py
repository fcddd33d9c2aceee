"""Measures membership, configuration spread and summaries in virtual time."""
