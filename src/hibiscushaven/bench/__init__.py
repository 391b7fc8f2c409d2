"""Measurements of the parts on a virtual clock, and of whole processes."""
