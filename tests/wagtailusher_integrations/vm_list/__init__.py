"""Tests of the VM list's reader."""
