"""Scenario language: one step per line, executed in virtual time with the real deciders."""
