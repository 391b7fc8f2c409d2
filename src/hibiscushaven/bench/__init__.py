"""Measurements of the parts on a virtual clock."""
