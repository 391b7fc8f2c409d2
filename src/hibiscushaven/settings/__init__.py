"""Settings of one VM and files that describe a whole deployment."""

from .deployment import (
    Delays,
    Deployment,
    FailureDomain,
    UnknownVmError,
    load_deployment,
    settings_for,
)
from .model import (
    Limits,
    LogFormat,
    LogSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
    VmSettings,
)
from .reader import FileProblem, load_settings

__all__ = [
    "Delays",
    "Deployment",
    "FailureDomain",
    "FileProblem",
    "Limits",
    "LogFormat",
    "LogSettings",
    "PeerSettings",
    "PlatformSettings",
    "Settings",
    "UnknownVmError",
    "VmSettings",
    "load_deployment",
    "load_settings",
    "settings_for",
]
