"""Adapter to the users' platform: maps its protocols and data to the product's types.

The adapter makes no decisions of its own. ``program`` runs the gateway daemon and is imported
only by the command that starts it.
"""

__all__ = ["SETTINGS_VARIABLE"]

# Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "HIBISCUSHAVEN_CONFIG"
