"""Digests of requests, and keys of the rows that store their claims."""

import hashlib

import msgpack

__all__ = ["claim_key", "request_fingerprint"]


def request_fingerprint(method: str, path: str, query: str, body: bytes) -> str:
    """Return the digest by which resends of the same request are recognized.

    Fields are packed with their lengths, so that moving bytes from one field to the next
    changes the digest.

    Examples
    ========

    >>> first = request_fingerprint("POST", "/orders", "", b"one pallet")
    >>> first == request_fingerprint("POST", "/orders", "", b"two pallets")
    False

    """
    return _digest(method.upper(), path, query, body)


def claim_key(service: str, tenant: str, caller: str, key: str) -> str:
    """Return the key of a claim's row.

    The caller is part of the digest, so that callers that use the same idempotency key neither
    conflict with each other nor learn that the key was used.

    Examples
    ========

    >>> claim_key("pedidos", "retalho-sul", "shop-a", "42")[:15]
    'claims/pedidos/'

    """
    return f"claims/{service}/{_digest(tenant, caller, key)}"


def _digest(*values: str | bytes) -> str:
    return hashlib.sha256(msgpack.packb(values)).hexdigest()
