"""Benchmarks: simulations of components on virtual time, and runs of whole processes."""
