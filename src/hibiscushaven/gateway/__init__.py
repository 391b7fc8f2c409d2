"""Daemon of an entry VM on a platform where backend servers register themselves."""

from .daemon import DirectoryDialect, GatewayDaemon
from .node import GatewayNode
from .options import GatewayOptions
from .ports import PlatformStore, ServerListing, StoreError, VmAddress

__all__ = [
    "DirectoryDialect",
    "GatewayDaemon",
    "GatewayNode",
    "GatewayOptions",
    "PlatformStore",
    "ServerListing",
    "StoreError",
    "VmAddress",
]
