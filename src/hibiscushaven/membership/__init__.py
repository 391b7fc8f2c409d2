"""Membership protocol: heartbeats in a failure domain and digests between failure domains."""

from .attributes import COMBINERS, combiner
from .messages import Digest, Heartbeat, MembershipUpdate, OutgoingMessage
from .node import MembershipNode
from .view import DomainDigest, Member, MemberState, View

__all__ = [
    "COMBINERS",
    "Digest",
    "DomainDigest",
    "Heartbeat",
    "Member",
    "MemberState",
    "MembershipNode",
    "MembershipUpdate",
    "OutgoingMessage",
    "View",
    "combiner",
]
