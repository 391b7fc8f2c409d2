"""Messages and streams between the VMs of the system."""

from .hub import Lane, PeerHub, PeerIdentity, PeerLink
from .messages import MESSAGES, DecodeError, Message, decode, encode, message
from .stream import PeerClosedError, PeerStream

__all__ = [
    "MESSAGES",
    "DecodeError",
    "Lane",
    "Message",
    "PeerClosedError",
    "PeerHub",
    "PeerIdentity",
    "PeerLink",
    "PeerStream",
    "decode",
    "encode",
    "message",
]
