"""Global traffic routing through small entry VMs."""

__all__ = ["__version__"]

__version__ = "0.1.0"
