"""Putting the documents of a deployment in force, once its VMs answer."""

import asyncio
import contextlib

import aiohttp
import click

from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.settings import Deployment, Settings

__all__ = ["load_documents", "print_usage"]

_START_LIMIT_S = 60.0
_POLL_S = 0.25


async def load_documents(deployment: Deployment) -> bool:
    """Wait for every VM, put all documents in force and print how to use the deployment."""
    timeout = aiohttp.ClientTimeout(total=10)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        try:
            async with asyncio.timeout(_START_LIMIT_S):
                for vm in deployment.vms:
                    await _until_ok(session, f"{_url(vm)}/healthz")
                if not await _put_all(session, deployment):
                    return False
                for vm in deployment.vms:
                    for service in deployment.documents:
                        await _until_ok(session, f"{_url(vm)}/v1/lookup/{service}")
        except TimeoutError:
            click.echo(f"error: not every VM was ready within {_START_LIMIT_S:g} s", err=True)
            return False
    print_usage(deployment)
    return True


async def _until_ok(session: aiohttp.ClientSession, url: str) -> None:
    while True:
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with session.get(url) as response:
                if response.status == 200:
                    return
        await asyncio.sleep(_POLL_S)


async def _put_all(session: aiohttp.ClientSession, deployment: Deployment) -> bool:
    results = [
        await _put(session, deployment, service, path.read_bytes())
        for service, path in deployment.documents.items()
    ]
    return all(results)


async def _put(
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
    """Print the addresses of a deployment and three commands to try."""
    click.echo(f"Deployment {deployment.name} is up. Entry VMs:")
    for vm in deployment.vms:
        click.echo(f"  {vm.name:24} {_url(vm)}")
    service = next(iter(deployment.documents))
    entry = f"--entry {_url(deployment.vms[0])}"
    caller = _demo_caller(deployment)
    team = next(iter(deployment.team_tokens.values()))
    path = _demo_path(service)
    click.echo("Try:")
    click.echo(f"  hibiscushaven lookup {service} {entry}")
    click.echo(
        f"  HIBISCUSHAVEN_TOKEN={caller} hibiscushaven request {service} {path} --include {entry}"
    )
    click.echo(f"  HIBISCUSHAVEN_TOKEN={team} hibiscushaven document status {service} {entry}")


def _demo_caller(deployment: Deployment) -> str:
    return "demo-shop-a" if deployment.name == "retalho-sul" else "demo-workshop-a"


def _demo_path(service: str) -> str:
    return {"estoque": "/stock/42", "adatkereso": "/approvals/42"}.get(service, "/")


def _url(vm: Settings) -> str:
    return f"http://{Endpoint(vm.host, vm.http_port)}"
