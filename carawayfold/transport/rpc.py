"""The RPC server that peers and operators call."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

import grpc

from carawayfold.protocol import admin_pb2_grpc, peer_pb2, peer_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from carawayfold.coordination.knowledge.configuration import ConfigFollower
    from carawayfold.settings import Settings
    from carawayfold.transport.links import Links

#: Seconds that open calls get when the server stops.
STOP_GRACE = 0.2


class PeerService(peer_pb2_grpc.PeerServicer):
    """Serves the calls of other routers.

    Parameters
    ----------
    links : Links
        Takes accepted links; knows the fleet's secret.
    follower : ConfigFollower
        Configuration to hand over.
    pack : callable
        Encodes a snapshot.
    outcome_of : callable
        Says what became of a claimed request.
    """

    def __init__(
        self,
        links: Links,
        follower: ConfigFollower,
        pack: Callable[..., bytes],
        outcome_of: Callable[[peer_pb2.OutcomeRequest], peer_pb2.OutcomeReply],
    ) -> None:
        self.links = links
        self.follower = follower
        self.pack = pack
        self.outcome_of = outcome_of

    async def _check(self, context: grpc.aio.ServicerContext) -> None:
        if not self.links.permitted(context):
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, "not of this fleet")

    async def Link(  # noqa: N802
        self,
        request_iterator: AsyncIterator[peer_pb2.Frame],
        context: grpc.aio.ServicerContext,
    ) -> AsyncIterator[peer_pb2.Frame]:
        """Serve a link."""
        await self._check(context)
        async for frame in self.links.accept(request_iterator):
            yield frame

    async def HandOver(  # noqa: N802
        self, request: peer_pb2.HandOverRequest, context: grpc.aio.ServicerContext
    ) -> peer_pb2.HandOverReply:
        """Hand over the configuration if it is newer than the asker's."""
        await self._check(context)
        snapshot = self.follower.snapshot
        revision = snapshot.through + 1
        if revision <= request.revision:
            return peer_pb2.HandOverReply(revision=revision)
        return peer_pb2.HandOverReply(revision=revision, snapshot=self.pack(snapshot))

    async def AskOutcome(  # noqa: N802
        self, request: peer_pb2.OutcomeRequest, context: grpc.aio.ServicerContext
    ) -> peer_pb2.OutcomeReply:
        """Say what became of a request whose key was claimed here."""
        await self._check(context)
        return self.outcome_of(request)


class OperatorGate:
    """Checks operators' tokens.

    Parameters
    ----------
    settings : Settings
        Operators and their tokens.
    """

    def __init__(self, settings: Settings) -> None:
        self.operators = settings.operators

    async def check(self, context: grpc.aio.ServicerContext) -> str:
        """Return the operator's name, or end the call."""
        metadata = dict(context.invocation_metadata() or ())
        given = str(metadata.get("authorization", "")).removeprefix("Bearer ")
        found = ""
        for name, token in self.operators.items():
            if hmac.compare_digest(given.encode(), token.encode()):
                found = name
        if not found:
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, "unknown operator")
        return found


class RpcServer:
    """Owns the gRPC server.

    Parameters
    ----------
    settings : Settings
        Address.
    peer : PeerService
        For other routers.
    admin : AdminServicer
        For operators.
    """

    def __init__(
        self,
        settings: Settings,
        peer: PeerService,
        admin: admin_pb2_grpc.AdminServicer,
    ) -> None:
        self.server = grpc.aio.server(options=[("grpc.so_reuseport", 0)])
        peer_pb2_grpc.add_PeerServicer_to_server(peer, self.server)
        admin_pb2_grpc.add_AdminServicer_to_server(admin, self.server)
        self.port = self.server.add_insecure_port(str(settings.peer_listen))

    async def __aenter__(self) -> RpcServer:
        await self.server.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.server.stop(STOP_GRACE)
