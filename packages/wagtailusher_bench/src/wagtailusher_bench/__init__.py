"""Load and experiment tool: fakes in virtual time, benchmarks, reports."""
