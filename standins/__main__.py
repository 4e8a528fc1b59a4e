"""Run a stand-in as a process; prints ``ready PORT [CONTROL]`` once it listens."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Annotated

import typer

from standins.engine import Engine
from standins.hosted import Hosted
from standins.instances import InstanceList
from standins.keyed_store import KeyedStore
from standins.log import LogService
from standins.proxy import Proxy
from standins.relay import Relay
from standins.web import WebServer
from standins.worker import Worker

app = typer.Typer(help="Stand-ins for the services around the routers.")


async def serve(service: object, port: int) -> None:
    """Serve an HTTP stand-in until the process is killed."""
    server = WebServer(service.handle)
    await server.start(port)
    print(f"ready {server.port}", flush=True)
    if hasattr(service, "run"):
        await service.run()
    await asyncio.Event().wait()


@app.command()
def log(port: int = 0) -> None:
    """Run the log service."""
    asyncio.run(serve(LogService(), port))


@app.command()
def instances(port: int = 0) -> None:
    """Run the instance list."""
    asyncio.run(serve(InstanceList(), port))


@app.command()
def engine(
    port: int = 0, slots: int = 8, step: float = 0.01, prefill: float = 0.0
) -> None:
    """Run a model engine."""
    asyncio.run(serve(Engine(slots, step, prefill), port))


@app.command()
def worker(port: int = 0, slots: int = 4) -> None:
    """Run an application worker."""

    async def start() -> None:
        await serve(Worker(slots), port)

    asyncio.run(start())


@app.command()
def proxy(
    targets: Annotated[list[int], typer.Argument()], port: int = 0, check: bool = False
) -> None:
    """Run a proxy, or a load balancer with --check; faults are set at CONTROL."""

    async def start() -> None:
        proxy = Proxy(targets, check)
        await proxy.start(port)
        control = WebServer(proxy.handle)
        await control.start(0)
        print(f"ready {proxy.port} {control.port}", flush=True)
        await proxy.run()
        await asyncio.Event().wait()

    asyncio.run(start())


@app.command()
def relay(port: int = 0) -> None:
    """Run the relay between routers; they are added, and faults set, at PORT."""

    async def start() -> None:
        await serve(Relay(), port)

    asyncio.run(start())


@app.command()
def store(port: int = 0) -> None:
    """Run the store of the platform."""
    asyncio.run(serve(KeyedStore(), port))


@app.command()
def hosted(
    name: str,
    port: int = 0,
    pace: float = 0.0,
    records: Path | None = None,
    software: str = "v1",
) -> None:
    """Run an endpoint of the platform."""
    asyncio.run(serve(Hosted(name, pace, records, software), port))


if __name__ == "__main__":
    app()
