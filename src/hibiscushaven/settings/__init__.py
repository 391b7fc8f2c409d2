"""Settings of an entry VM, and of a whole deployment for demos and tests."""

from .deployment import Deployment, FailureDomain, parse_deployment, settings_for
from .files import load_deployment, load_settings
from .vm import LogSettings, Settings, parse_settings

__all__ = [
    "Deployment",
    "FailureDomain",
    "LogSettings",
    "Settings",
    "load_deployment",
    "load_settings",
    "parse_deployment",
    "parse_settings",
    "settings_for",
]
