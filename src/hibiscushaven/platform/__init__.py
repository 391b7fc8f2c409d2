"""Adapter to the users' platform: translates its names, and decides nothing."""

from .program import run_gateway

__all__ = ["run_gateway"]
