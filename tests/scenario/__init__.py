"""The scenario language: one step a line, run in virtual time on the real deciders."""
