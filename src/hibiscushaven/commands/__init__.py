"""The command line of hibiscushaven."""

from .main import main

__all__ = ["main"]
