"""Fleet of real processes, with the product's own interface."""

from __future__ import annotations

import asyncio
import uuid
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import grpc

from benchmarks.client import get_json, post_json, send
from benchmarks.processes import Process, Processes
from carawayfold.protocol import admin_pb2, admin_pb2_grpc
from carawayfold.protocol.objects import to_message
from carawayfold.state.configuration import (
    ApiKey,
    ConfigObject,
    Endpoint,
    Organisation,
    Service,
)
from carawayfold.state.configuration_view import hash_key

if TYPE_CHECKING:
    from benchmarks.deployments import Deployment

TOKEN = "operator-token-for-tests"
SECRET = "fleet-secret-for-tests"
READY_TIMEOUT = 60.0


@dataclass
class Router:
    """A router process and its settings."""

    process: Process
    settings: dict[str, Any]

    @property
    def name(self) -> str:
        """Return the router's name."""
        return self.settings["router"]

    @property
    def port(self) -> int:
        """Return the port for callers."""
        return self.process.port

    @property
    def peer_port(self) -> int:
        """Return the port for peers and operators."""
        return self.process.control


@dataclass
class Fleet:
    """Routers, endpoints and the stand-ins of the platform.

    Attributes
    ----------
    overrides : dict of str to object
        Settings of every router.
    """

    processes: Processes
    overrides: dict[str, Any] = field(default_factory=dict)
    routers: list[Router] = field(default_factory=list)
    endpoints: dict[str, Process] = field(default_factory=dict)
    log: Process | None = None
    instances: Process | None = None
    balancer: Process | None = None

    def start_platform(self) -> None:
        """Start the log and the instance list."""
        self.log = self.processes.start_standin("log", "log")
        self.instances = self.processes.start_standin("instances", "instances")

    def settings_for(self, name: str, data_centre: str) -> dict[str, Any]:
        """Return the settings of a router."""
        settings = {
            "router": name,
            "data_centre": data_centre,
            "listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0",
            "fleet_secret": SECRET,
            "operators": {"tests": TOKEN},
            "log": f"127.0.0.1:{self.log.port}",
            "instances": f"127.0.0.1:{self.instances.port}",
            "seeds": [f"127.0.0.1:{router.peer_port}" for router in self.routers],
        }
        settings.update(self.overrides)
        return settings

    async def start_routers(self, places: dict[str, str]) -> None:
        """Start routers concurrently and add them to the instance list.

        Parameters
        ----------
        places : dict of str to str
            Data centres by router.
        """
        started = []
        for name, place in places.items():
            settings = self.settings_for(name, place)
            process = self.processes.start_router(name, settings)
            started.append(Router(process, settings))
        for router in started:
            await self._enter(router)
        self.routers += started

    async def start_router(self, name: str, data_centre: str) -> Router:
        """Start a router and add it to the instance list."""
        await self.start_routers({name: data_centre})
        return self.routers[-1]

    async def restart_router(self, router: Router) -> None:
        """Restart a router that has ended, at the same addresses."""
        router.process = self.processes.start_router(router.name, router.settings)
        await self._enter(router)

    async def _enter(self, router: Router) -> None:
        self.processes.wait_listening(router.process)
        router.settings["listen"] = f"127.0.0.1:{router.port}"
        router.settings["peer_listen"] = f"127.0.0.1:{router.peer_port}"
        await self.list_router(router)

    async def list_router(
        self, router: Router, state: str = "live", proxy: Process | None = None
    ) -> None:
        """Add a router to the instance list, at the port of its proxy if given."""
        entry = {
            "id": router.name,
            "role": "router",
            "state": state,
            "data_centre": router.settings["data_centre"],
            "host": "127.0.0.1",
            "port": proxy.port if proxy is not None else router.peer_port,
        }
        await post_json(self.instances.port, "/instances", [entry])

    async def list_endpoint(self, name: str, data_centre: str, state: str) -> None:
        """Add an endpoint to the instance list."""
        entry = {
            "id": name,
            "role": "endpoint",
            "state": state,
            "data_centre": data_centre,
            "host": "127.0.0.1",
            "port": self.endpoints[name].port,
        }
        await post_json(self.instances.port, "/instances", [entry])

    async def wait_ready(self) -> None:
        """Wait until every router is ready and linked to every other one."""
        async with asyncio.timeout(READY_TIMEOUT):
            for router in self.routers:
                while (await send(router.port, "GET", "/readyz", {})).status != 200:
                    await asyncio.sleep(0.05)
            for router in self.routers:
                while not await self._has_met_all(router):
                    await asyncio.sleep(0.05)

    async def wait_in_rotation(self) -> None:
        """Wait until the balancer forwards to every router."""
        expected = {router.port for router in self.routers}
        async with asyncio.timeout(READY_TIMEOUT):
            while set(await get_json(self.balancer.control, "/")) != expected:
                await asyncio.sleep(0.05)

    async def _has_met_all(self, router: Router) -> bool:
        status = await self.status(router)
        live = {peer.router for peer in status.peers if peer.live}
        return {other.name for other in self.routers} <= live

    async def wait_revision(self) -> None:
        """Wait until all routers have the same revision."""
        async with asyncio.timeout(READY_TIMEOUT):
            while True:
                statuses = [await self.status(router) for router in self.routers]
                if len({status.revision for status in statuses}) == 1:
                    return
                await asyncio.sleep(0.05)

    async def status(self, router: Router) -> admin_pb2.StatusReply:
        """Return the status of a router."""
        return await ask(router.peer_port, "Status", admin_pb2.StatusRequest())

    async def put(
        self,
        item: ConfigObject,
        based_on: int = 0,
        change_id: str = "",
        router: Router | None = None,
        remove: bool = False,
    ) -> admin_pb2.ChangeReply:
        """Change an object of the configuration."""
        request = admin_pb2.ChangeRequest(
            change_id=change_id or uuid.uuid4().hex,
            based_on=based_on,
            object=to_message(item),
            remove=remove,
        )
        target = router or self.routers[0]
        return await ask(target.peer_port, "Change", request)

    async def put_all(self, items: list[ConfigObject]) -> None:
        """Change several objects; all changes must be accepted."""
        for item in items:
            reply = await self.put(item)
            if reply.state != admin_pb2.ChangeReply.ACCEPTED:
                raise RuntimeError(f"{item} was not accepted: {reply}")

    def start_engine(self, name: str, slots: int, step: float) -> Process:
        """Start a model engine."""
        engine = self.processes.start_standin(
            name, "engine", "--slots", slots, "--step", step
        )
        self.endpoints[name] = engine
        return engine

    def start_worker(self, name: str, slots: int) -> Process:
        """Start an application worker."""
        worker = self.processes.start_standin(name, "worker", "--slots", slots)
        self.endpoints[name] = worker
        return worker

    def start_balancer(self) -> Process:
        """Start a load balancer in front of the routers."""
        ports = [router.port for router in self.routers]
        self.balancer = self.processes.start_standin(
            "balancer", "proxy", "--check", *ports
        )
        return self.balancer


async def ask(port: int, method: str, request: Any, token: str = TOKEN) -> Any:
    """Call the administration interface of a router on 127.0.0.1."""
    async with grpc.aio.insecure_channel(f"127.0.0.1:{port}") as channel:
        call = getattr(admin_pb2_grpc.AdminStub(channel), method)
        metadata = (("authorization", f"Bearer {token}"),)
        return await call(request, timeout=10.0, metadata=metadata, wait_for_ready=True)


def key_of(organisation: str) -> str:
    """Return the API key of an organisation."""
    return f"key-of-{organisation}"


async def start_deployment(
    fleet: Fleet,
    deployment: Deployment,
    engine_slots: int = 8,
    worker_slots: int = 4,
    step: float = 0.01,
) -> None:
    """Start all processes of a deployment and configure it."""
    places = deployment.data_centres
    fleet.start_platform()
    await fleet.start_routers(spread(deployment.routers, places))
    items: list[ConfigObject] = [
        Service(deployment.model),
        Service(deployment.application, model=False, repeatable=False),
    ]
    items += organisation_objects(deployment.organisations)
    for number in range(deployment.engines):
        name = f"{deployment.model}-{number + 1}"
        engine = fleet.start_engine(name, engine_slots, step)
        place = places[number % len(places)]
        items.append(
            Endpoint(
                name, deployment.model, place, "127.0.0.1", engine.port, engine_slots
            )
        )
    for number in range(deployment.workers):
        name = f"{deployment.application}-{number + 1}"
        worker = fleet.start_worker(name, worker_slots)
        place = places[number % len(places)]
        items.append(
            Endpoint(
                name,
                deployment.application,
                place,
                "127.0.0.1",
                worker.port,
                worker_slots,
            )
        )
    await fleet.wait_ready()
    await fleet.put_all(items)
    await fleet.wait_revision()


def spread(count: int, places: tuple[str, ...]) -> dict[str, str]:
    """Return the data centres of `count` routers."""
    return {
        f"router-{number + 1}": places[number % len(places)] for number in range(count)
    }


def organisation_objects(shares: dict[str, float]) -> list[ConfigObject]:
    """Return the objects of organisations with one API key each."""
    items: list[ConfigObject] = []
    for name, share in shares.items():
        items.append(Organisation(name, share))
        items.append(ApiKey(hash_key(key_of(name)), name))
    return items
