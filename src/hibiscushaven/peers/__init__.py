"""Messages and connections between the VMs of the system."""

from .hub import Channel, PeerConnection, PeerHub, PeerIdentity
from .messages import MESSAGES, DecodeError, Message, decode, encode, message
from .stream import PeerClosedError, PeerStream

__all__ = [
    "MESSAGES",
    "Channel",
    "DecodeError",
    "Message",
    "PeerClosedError",
    "PeerConnection",
    "PeerHub",
    "PeerIdentity",
    "PeerStream",
    "decode",
    "encode",
    "message",
]
