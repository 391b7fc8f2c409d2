"""Sample documents for tests."""


def document_text(name: str = "estoque", team: str = "loja", weight: float = 1, **callers) -> str:
    """Return a valid document.

    :param callers: SHA-256 digest of the token, by caller.
    """
    credentials = "".join(
        f"[caller {caller}]\ntoken_sha256 = {digest}\n" for caller, digest in callers.items()
    )
    return f"""
[service]
name = {name}
tenant = retalho-sul
team = {team}
[class orders]
path = /orders/*
methods = POST
idempotent = no
size = short
deadline_ms = 2000
[place serra-a]
region = serra
failure_domain = serra-a
capacity = 8
weight = {weight}
[server s1]
place = serra-a
address = 10.0.0.1:8000
slots = 4
{credentials}"""
