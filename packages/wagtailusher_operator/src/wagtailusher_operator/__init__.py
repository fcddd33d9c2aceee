"""Paths and response models of the operator HTTP API."""
