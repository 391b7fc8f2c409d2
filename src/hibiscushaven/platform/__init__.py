"""Adapter to the users' platform: translates its names, and decides nothing.

``program`` holds the daemon; it is imported only by the command that runs it.
"""

__all__ = ["SETTINGS_VARIABLE"]

# Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "HIBISCUSHAVEN_CONFIG"
