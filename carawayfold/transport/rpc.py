"""gRPC server for peers and operators."""

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

#: Seconds that open calls have to complete when the server stops.
STOP_GRACE = 0.2


class PeerService(peer_pb2_grpc.PeerServicer):
    """Serves the calls of other routers.

    Parameters
    ----------
    links : Links
        Handles accepted links and checks the fleet secret.
    follower : ConfigFollower
        Provides the configuration that `HandOver` returns.
    pack : callable
        Encodes a configuration snapshot.
    outcome_of : callable
        Returns the outcome of a claimed request.
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
        """Serve a link to another router."""
        await self._check(context)
        async for frame in self.links.accept(request_iterator):
            yield frame

    async def HandOver(  # noqa: N802
        self, request: peer_pb2.HandOverRequest, context: grpc.aio.ServicerContext
    ) -> peer_pb2.HandOverReply:
        """Return the configuration if it is newer than that of the calling router."""
        await self._check(context)
        snapshot = self.follower.snapshot
        revision = snapshot.through + 1
        if revision <= request.revision:
            return peer_pb2.HandOverReply(revision=revision)
        return peer_pb2.HandOverReply(revision=revision, snapshot=self.pack(snapshot))

    async def AskOutcome(  # noqa: N802
        self, request: peer_pb2.OutcomeRequest, context: grpc.aio.ServicerContext
    ) -> peer_pb2.OutcomeReply:
        """Return the outcome of a request whose key was claimed on this router."""
        await self._check(context)
        return self.outcome_of(request)


class OperatorAuthenticator:
    """Authenticates operators by their tokens.

    Parameters
    ----------
    settings : Settings
        Provides the operators and their tokens.
    """

    def __init__(self, settings: Settings) -> None:
        self.operators = settings.operators

    async def check(self, context: grpc.aio.ServicerContext) -> str:
        """Return the name of the operator, or abort the call as unauthenticated."""
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
    """Runs the gRPC server.

    Parameters
    ----------
    settings : Settings
        Provides the listen address.
    peer : PeerService
        Service for other routers.
    admin : AdminServicer
        Service for operators.
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
