"""Tests of the relay benchmark."""
