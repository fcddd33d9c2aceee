"""Measures membership, configuration spread, summaries and message costs in virtual time."""
