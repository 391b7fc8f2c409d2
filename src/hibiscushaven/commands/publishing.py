"""Publication of the documents of a deployment once its VMs are ready."""

import asyncio
import contextlib

import aiohttp
import click

from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.settings import Deployment, Settings

__all__ = ["print_usage", "publish_documents"]

_START_TIMEOUT_S = 60.0
_POLL_INTERVAL_S = 0.25


async def publish_documents(deployment: Deployment) -> bool:
    """Wait for all VMs, publish all documents and print how to use the deployment.

    :returns: whether all VMs were ready in time and accepted all documents.
    """
    timeout = aiohttp.ClientTimeout(total=10)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        try:
            async with asyncio.timeout(_START_TIMEOUT_S):
                for vm in deployment.vms:
                    await _wait_until_ok(session, f"{_url(vm)}/healthz")
                if not await _publish_documents(session, deployment):
                    return False
                for vm in deployment.vms:
                    for service in deployment.documents:
                        await _wait_until_ok(session, f"{_url(vm)}/v1/lookup/{service}")
        except TimeoutError:
            click.echo(f"error: not every VM was ready within {_START_TIMEOUT_S:g} s", err=True)
            return False
    print_usage(deployment)
    return True


async def _wait_until_ok(session: aiohttp.ClientSession, url: str) -> None:
    while True:
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with session.get(url) as response:
                if response.status == 200:
                    return
        await asyncio.sleep(_POLL_INTERVAL_S)


async def _publish_documents(session: aiohttp.ClientSession, deployment: Deployment) -> bool:
    results = [
        await _publish_document(session, deployment, service, path.read_bytes())
        for service, path in deployment.documents.items()
    ]
    return all(results)


async def _publish_document(
    session: aiohttp.ClientSession, deployment: Deployment, service: str, text: bytes
) -> bool:
    token = next(iter(deployment.team_tokens.values()))
    url = f"{_url(deployment.vms[0])}/v1/documents/{service}"
    headers = {"Authorization": f"Bearer {token}"}
    async with session.put(url, data=text, headers=headers) as response:
        if response.status >= 400:
            click.echo(f"error: {service}: {await response.text()}", err=True)
        return response.status < 400


def print_usage(deployment: Deployment) -> None:
    """Print the addresses of the entry VMs and three example commands."""
    click.echo(f"Deployment {deployment.name} is up. Entry VMs:")
    for vm in deployment.vms:
        click.echo(f"  {vm.name:24} {_url(vm)}")
    service = next(iter(deployment.documents))
    entry = f"--entry {_url(deployment.vms[0])}"
    caller = _demo_caller_token(deployment)
    team = next(iter(deployment.team_tokens.values()))
    path = _demo_path(service)
    click.echo("Try:")
    click.echo(f"  hibiscushaven lookup {service} {entry}")
    click.echo(
        f"  HIBISCUSHAVEN_TOKEN={caller} hibiscushaven request {service} {path} --include {entry}"
    )
    click.echo(f"  HIBISCUSHAVEN_TOKEN={team} hibiscushaven document status {service} {entry}")


def _demo_caller_token(deployment: Deployment) -> str:
    return "demo-shop-a" if deployment.name == "retalho-sul" else "demo-workshop-a"


def _demo_path(service: str) -> str:
    return {"estoque": "/stock/42", "adatkereso": "/approvals/42"}.get(service, "/")


def _url(vm: Settings) -> str:
    return f"http://{Endpoint(vm.host, vm.http_port)}"
