"""Fleet of forwarding routers, with stand-ins of the platform."""

from __future__ import annotations

import asyncio
import contextlib
import http.client
import json
import random
import re
import socket
import struct
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, NamedTuple

import h11

from standins.hosted import CRASH_EXIT_CODE

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from benchmarks.processes import Process, Processes

READ_SIZE = 65536
#: Seconds within which a stand-in must answer.
OPERATOR_TIMEOUT = 2.0
#: Range of ports that are assigned before a process starts.
PORTS = (20_000, 32_000)
SYSTEM_RANDOM = random.SystemRandom()
#: Ports that `free_port` has returned.
assigned_ports: set[int] = set()
#: Metric of a router's share of the extra retries.
EXTRA_RETRIES = re.compile(rb"^carawayfold_repeats_extra (.+)$", re.MULTILINE)
#: A complete event of the stand-in's streams.
STREAM_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+)\n\n")
HOST = "caller.example"
KEY = "key-of-alder"


def route(name: str, kind: str, service: str, **other: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    fields = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "route_kind": kind,
        "timeout_ms": 8000,
        "target_latency_ms": 400,
        "service": service,
        "max_attempts": 2,
    }
    return {**fields, **other}


def configuration(version: int = 1, **other: Any) -> dict[str, Any]:
    """Return a configuration with a route of each kind."""
    fields = {
        "version": version,
        "routes": [
            route("stream", "streaming", "model", resumable=True),
            route("stream-once", "streaming", "model", max_attempts=1),
            route("once", "non_idempotent", "desk", max_attempts=1),
            route("again", "idempotent", "desk"),
            route("open", "idempotent", "desk", anonymous=True),
        ],
        "services": [
            {
                "name": "model",
                "max_connections": 100,
                "engine": {"kv_capacity_tokens": 600_000},
            },
            {"name": "desk", "max_connections": 100},
        ],
        "limits": {"tokens_per_s": 100_000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "alder", "api_keys": [KEY]}],
    }
    return {**fields, **other}


@dataclass
class HostedFleet:
    """Routers, endpoints and the store, as real processes.

    Attributes
    ----------
    ports : dict
        Ports of each router for callers, checks and peers.
    software : dict
        Software version of each endpoint.
    proxies : dict
        Proxies in front of the store and of endpoints, if any.
    relay : Process or None
        Relay between the routers; see `start_relay`.
    blocked : set of tuple of str
        Pairs of sender and receiver between which the relay passes nothing on.
    """

    processes: Processes
    store: Process = field(init=False)
    endpoints: dict[str, Process] = field(default_factory=dict)
    services: dict[str, str] = field(default_factory=dict)
    software: dict[str, str] = field(default_factory=dict)
    routers: dict[str, Process] = field(default_factory=dict)
    ports: dict[str, tuple[int, int, int]] = field(default_factory=dict)
    proxies: dict[str, Process] = field(default_factory=dict)
    relay: Process | None = None
    blocked: set[tuple[str, str]] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.store = self.processes.start_standin("store", "store")

    def call_store(self, method: str, path: str, body: bytes = b"") -> bytes:
        """Call the store as an operator, or to set its faults.

        Raises
        ------
        OSError, http.client.HTTPException
            If the store did not answer, or refused.
        """
        return ask_standin(self.store.port, method, path, body)

    def put(self, topic: str, key: str, value: object) -> None:
        """Write a record; None removes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self.put_bytes(topic, key.encode(), data)

    def put_bytes(self, topic: str, key: bytes, value: bytes) -> None:
        """Write a record with any key and value."""
        record = bytes([len(key)]) + key + value
        body = struct.pack(">I", len(record)) + record
        self.call_store("POST", f"/log-append?topic={topic}&part=0", body)

    def configure(self, config: dict[str, Any]) -> None:
        """Write the configuration."""
        self.put("keyed.op", "config", config)

    def start_endpoint(self, name: str, service: str, **launch: Any) -> None:
        """Start an endpoint and register it; see `launch_endpoint`."""
        self.launch_endpoint(name, service, **launch)
        self.register(name)

    def launch_endpoint(
        self,
        name: str,
        service: str,
        behind_proxy: bool = False,
        pace: float = 0.0,
        software: str = "v1",
    ) -> None:
        """Start an endpoint that is not registered yet."""
        words = ("hosted", name, "--pace", pace, "--records", self.records_of(name))
        process = self.processes.start_standin(name, *words, "--software", software)
        if behind_proxy:
            self.start_proxy(f"link-to-{name}", process.port)
        self.services[name] = service
        self.software[name] = software
        self.endpoints[name] = process

    def records_of(self, name: str) -> Path:
        """Return the file to which an endpoint writes its records before a crash."""
        return self.processes.folder / f"{name}.ran"

    def start_proxy(self, name: str, port: int) -> Process:
        """Start a proxy in front of a port and return it."""
        self.proxies[name] = self.processes.start_standin(name, "proxy", port)
        return self.proxies[name]

    def register(self, name: str, **other: Any) -> None:
        """Write the registration of an endpoint."""
        reached = self.proxies.get(f"link-to-{name}", self.endpoints[name])
        entry = {
            "service": self.services[name],
            "address": f"127.0.0.1:{reached.port}",
            "zone": "north",
            "slots": 8,
            "version": self.software[name],
            "state": "active",
            "cold_remaining_ms": 0,
            "call_seq": 1,
        }
        self.put("keyed.servers", name, {**entry, **other})

    def set_faults(self, name: str, **faults: Any) -> None:
        """Set the faults of an endpoint; all others are cleared."""
        port = self.endpoints[name].port
        ask_standin(port, "POST", "/faults", json.dumps(faults).encode())

    def ran(self, name: str) -> list[dict[str, Any]]:
        """Return the requests that ran at an endpoint, which may have crashed."""
        if self.endpoints[name].popen.poll() == CRASH_EXIT_CODE:
            return json.loads(self.records_of(name).read_bytes())
        return json.loads(ask_standin(self.endpoints[name].port, "GET", "/ran"))

    def health_checks(self, name: str) -> int:
        """Return the number of health checks that reached an endpoint."""
        return json.loads(ask_standin(self.endpoints[name].port, "GET", "/checked"))

    def arrived(self, name: str) -> list[str]:
        """Return the ids of the requests that reached an endpoint."""
        return json.loads(ask_standin(self.endpoints[name].port, "GET", "/arrived"))

    def start_router(
        self,
        name: str,
        profiled: str = "",
        behind_proxy: bool = False,
        **settings: Any,
    ) -> None:
        """Start a router with additional settings; see `wait_ready`."""
        self.ports[name] = tuple(free_port() for _ in range(3))
        if behind_proxy:
            self.start_proxy(f"store-of-{name}", self.store.port)
            if self.relay is not None:
                self._relay_router(name)
        self.write_settings(name, **settings)
        self._run_router(name, profiled)

    def start_relay(self) -> None:
        """Start a relay between the routers that are started behind proxies later."""
        self.relay = self.processes.start_standin("relay", "relay")

    def _relay_router(self, name: str) -> None:
        """Add a router to the relay, and its ports there to the others' entries."""
        router = json.dumps({"name": name, "port": self.ports[name][2]}).encode()
        ports = json.loads(ask_standin(self.relay.port, "POST", "/add", router))
        by_reader = {
            self.proxies[f"store-of-{reader}"].port: peers
            for reader, peers in ports.items()
        }
        self.call_store("POST", "/peer-ports", json.dumps(by_reader).encode())

    def block(self, pairs: Iterable[tuple[str, str]], loss: float = 0.0) -> None:
        """Block pairs of sender and receiver only; lose a fraction of all datagrams."""
        self.blocked = set(pairs)
        faults = json.dumps({"blocked": sorted(self.blocked), "loss": loss}).encode()
        ask_standin(self.relay.port, "POST", "/faults", faults)

    def pairs_of(self, name: str) -> set[tuple[str, str]]:
        """Return the pairs of a router with each other one, in both directions."""
        others = self.routers.keys() - {name}
        return {pair for item in others for pair in ((name, item), (item, name))}

    def isolate(self, name: str) -> None:
        """Disconnect a router from its peers and the store, until `reconnect`."""
        self.block(self.blocked | self.pairs_of(name))
        self.set_store_faults(name, swallow_up=True, swallow_down=True)

    def reconnect(self, name: str) -> None:
        """Undo `isolate`; connections to the store have lost data and are reset."""
        self.block(self.blocked - self.pairs_of(name))
        self.set_store_faults(name, cut=True)
        self.set_store_faults(name)

    def set_store_faults(self, router: str, **faults: Any) -> None:
        """Set the faults of a router's connections to the store; clear all others."""
        control = self.proxies[f"store-of-{router}"].control
        ask_standin(control, "POST", "/faults", json.dumps(faults).encode())

    def restart_router(self, name: str) -> None:
        """Restart a router that has ended, at the same addresses."""
        self._run_router(name)

    def write_settings(self, name: str, **other: Any) -> None:
        """Write the settings file of a router."""
        ports = self.ports[name]
        store = self.proxies.get(f"store-of-{name}", self.store)
        settings = {
            "router": name,
            "data_centre": "north",
            "listen": f"127.0.0.1:{ports[0]}",
            "ready_listen": f"127.0.0.1:{ports[1]}",
            "peer_listen": f"127.0.0.1:{ports[2]}",
            "store": f"127.0.0.1:{store.port}",
        }
        path = self.processes.folder / f"{name}.json"
        path.write_text(json.dumps({**settings, **other}))

    def _run_router(self, name: str, profiled: str = "") -> None:
        path = self.processes.folder / f"{name}.json"
        words = ("-o", profiled, "-m", "carawayfold") if profiled else ()
        module = "cProfile" if profiled else "carawayfold"
        self.routers[name] = self.processes.start(
            name, module, *words, "forward", path, logged=True
        )

    async def wait_ready(self, name: str) -> None:
        """Wait until a router is ready."""
        while True:
            try:
                answer = await call(self.ports[name][1], "GET", "/ready")
            except OSError:
                answer = None
            if self.routers[name].popen.poll() is not None:
                raise RuntimeError(f"{name} ended: {self.processes.log_of(name)}")
            if answer is not None and answer.status == 200:
                return
            await asyncio.sleep(0.02)

    async def wait_retrying(self, name: str) -> None:
        """Wait until a router is ready and has its share of the extra retries."""
        await self.wait_ready(name)
        while True:
            told = await call(self.ports[name][2], "GET", "/metrics")
            if float(EXTRA_RETRIES.search(told.body)[1]) > 0:
                return
            await asyncio.sleep(0.02)


@dataclass(slots=True)
class CallAnswer:
    """An answer, or the part of it that was received if `complete` is false."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False


async def call(
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    answer: CallAnswer | None = None,
) -> CallAnswer:
    """Send one request on a connection of its own.

    The answer is written into `answer`, if given, as it arrives.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        parser = h11.Connection(h11.CLIENT)
        fields = {"Host": HOST, "Content-Length": str(len(body)), **(headers or {})}
        request = h11.Request(method=method, target=path, headers=list(fields.items()))
        writer.write(parser.send(request))
        if body:
            writer.write(parser.send(h11.Data(data=body)))
        writer.write(parser.send(h11.EndOfMessage()))
        return await read_answer(reader, parser, answer)
    finally:
        writer.close()


async def read_answer(
    reader: asyncio.StreamReader,
    parser: h11.Connection,
    answer: CallAnswer | None = None,
) -> CallAnswer:
    """Read an answer; a broken one is returned as incomplete."""
    if answer is None:
        answer = CallAnswer()
    while True:
        try:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await reader.read(READ_SIZE))
                continue
        except (h11.RemoteProtocolError, ConnectionError):
            return answer
        if type(event) is h11.Response:
            answer.status = event.status_code
            answer.headers = {
                name.decode(): value.decode() for name, value in event.headers
            }
        elif type(event) is h11.Data:
            answer.body += event.data
        elif type(event) is h11.EndOfMessage:
            answer.complete = True
            return answer
        elif type(event) is h11.ConnectionClosed:
            return answer


class StreamEvent(NamedTuple):
    """An event of a stream of the stand-in.

    Attributes
    ----------
    number : int
        Number of the event.
    software : str
        Software version of the endpoint that sent it.
    run : str
        Run of the endpoint that sent it.
    """

    number: int
    software: str
    run: str


def stream_events(body: bytes) -> list[StreamEvent]:
    """Return the complete events of a stream of the stand-in."""
    return [
        StreamEvent(int(number), software.decode(), run.decode())
        for number, software, run in STREAM_EVENT.findall(body)
    ]


def resuming_headers(
    request: str, resumes: str, after: int, events: int = 4
) -> dict[str, str]:
    """Return the headers of a request that resumes a stream after an event."""
    headers = model_headers(request, events)
    return {**headers, "Resumes": resumes, "Last-Event-Id": str(after)}


def ask_standin(port: int, method: str, path: str, body: bytes = b"") -> bytes:
    """Send a request to a stand-in and return its answer.

    Raises
    ------
    OSError, http.client.HTTPException
        If there was no answer, or it was not a success.
    """
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=OPERATOR_TIMEOUT)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        if response.status != HTTPStatus.OK:
            raise http.client.HTTPException(f"status {response.status}")
        return response.read()
    finally:
        connection.close()


def free_port() -> int:
    """Return a port that is not in use.

    It is below the ephemeral ports, since an outgoing connection could take one before
    the process that is to listen on it has started. No port is returned twice. The
    generator is not seeded: test libraries seed the default one, which would return the
    same ports again while they are in use.
    """
    while True:
        port = SYSTEM_RANDOM.randrange(*PORTS)
        if port in assigned_ports:
            continue
        assigned_ports.add(port)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port


def model_headers(request: str, events: int = 4, tokens: int = 400) -> dict[str, str]:
    """Return the headers of a model request."""
    return {
        "Request-Id": request,
        "X-Api-Key": KEY,
        "Request-Deadline": "8000",
        "Token-Usage": f"{tokens},{events}",
        "Prompt-Prefix": f"aa:{tokens // 2},{request}:{tokens - tokens // 2}",
    }


def plain_headers(request: str, key: str = KEY) -> dict[str, str]:
    """Return the headers of a plain request."""
    return {"Request-Id": request, "X-Api-Key": key, "Request-Deadline": "3000"}
