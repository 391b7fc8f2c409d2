"""Settings of one VM."""

from .vm import Settings, load_settings, parse_settings

__all__ = ["Settings", "load_settings", "parse_settings"]
