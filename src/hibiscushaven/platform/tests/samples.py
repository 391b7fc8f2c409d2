"""Sample rows, as the operator and the backend servers write them to the platform's store."""


def server_row(service="stock", state="ready", sequence=1, address="10.0.0.9:8080", **fields):
    return {
        "Address": address,
        "Info": {"Service": service, "Version": "v1", "Zone": "serra-a", "Concurrency": 4},
        "Status": {"State": state, "Sequence": sequence, "WarmupLeft": "0ms"},
        "born": 1000,
        **fields,
    }


def route_item(name="r-1", **spec):
    defaults = {
        "Host": "a.example",
        "Prefix": "/x/",
        "Kind": "safe",
        "Timeout": "800ms",
        "Slo": "250ms",
        "Priority": 2,
        "Service": "stock",
        "MaxAttempts": 2,
        "Sticky": True,
        "HomeRegions": [],
    }
    return {
        "EntryKind": "Routes",
        "Metadata": {"Name": name},
        "Spec": {**defaults, **spec},
    }


def configuration_row(version=7, routes=None):
    service = {
        "HealthPath": "/health",
        "MaxConns": 815,
        "Protocol": "h1",
        "Tls": False,
        "Warmup": "3s",
        "WarmupPerS": 9.5,
    }
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 1000,
        "HeaderTimeout": "3000ms",
        "IdleTimeout": "15000ms",
    }
    return {
        "Version": f"r{version}",
        "Resources": [
            *(routes if routes is not None else [route_item()]),
            {"EntryKind": "Services", "Metadata": {"Name": "stock"}, "Spec": service},
            {"EntryKind": "Limits", "Metadata": {}, "Spec": limits},
        ],
    }
