"""Incarnations, heartbeats, the view of a failure domain and digests between them."""

from .messages import Digest, Heartbeat, News, Outgoing
from .node import MembershipNode
from .parts import COMBINERS, combiner
from .view import DomainDigest, Member, MemberState, View

__all__ = [
    "COMBINERS",
    "Digest",
    "DomainDigest",
    "Heartbeat",
    "Member",
    "MemberState",
    "MembershipNode",
    "News",
    "Outgoing",
    "View",
    "combiner",
]
