"""The command-line interface of hibiscushaven."""

from .main import main

__all__ = ["main"]
