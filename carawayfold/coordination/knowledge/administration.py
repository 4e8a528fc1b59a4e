"""The administration interface for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

import grpc

from carawayfold import __version__
from carawayfold.coordination.fleet.membership import PeerState
from carawayfold.coordination.knowledge.configuration import ConfigState
from carawayfold.protocol import admin_pb2, admin_pb2_grpc
from carawayfold.protocol.objects import KINDS, from_message, to_message
from carawayfold.state.configuration import Change, ChangeState

if TYPE_CHECKING:
    from carawayfold.application import Application
    from carawayfold.transport.rpc import OperatorAuthenticator

REPLY_STATES = {
    ChangeState.ACCEPTED: admin_pb2.ChangeReply.ACCEPTED,
    ChangeState.CONFLICT: admin_pb2.ChangeReply.CONFLICT,
    ChangeState.INVALID: admin_pb2.ChangeReply.INVALID,
}
#: Most characters of a change id.
MAX_CHANGE_ID_LENGTH = 128


class AdminService(admin_pb2_grpc.AdminServicer):
    """The administration service of one router.

    Parameters
    ----------
    application : Application
        The router.
    gate : OperatorAuthenticator
        Checks tokens.
    """

    def __init__(self, application: Application, gate: OperatorAuthenticator) -> None:
        self.application = application
        self.gate = gate

    async def Change(  # noqa: N802
        self, request: admin_pb2.ChangeRequest, context: grpc.aio.ServicerContext
    ) -> admin_pb2.ChangeReply:
        """Change one object."""
        operator = await self.gate.check(context)
        item = from_message(request.object)
        change_id = request.change_id
        if item is None or not 0 < len(change_id) <= MAX_CHANGE_ID_LENGTH:
            detail = "an object and a change id of 1 to 128 characters are needed"
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, detail)
        change = Change(change_id, request.based_on, item, request.remove, operator)
        outcome = await self.application.follower.change(change)
        if outcome is None:
            detail = "the log has not confirmed the change; ask again with its id"
            return admin_pb2.ChangeReply(detail=detail)
        return admin_pb2.ChangeReply(
            state=REPLY_STATES[outcome.state],
            revision=outcome.revision,
            detail=outcome.detail,
        )

    async def List(  # noqa: N802
        self, request: admin_pb2.ListRequest, context: grpc.aio.ServicerContext
    ) -> admin_pb2.ListReply:
        """List objects of one kind, or all."""
        await self.gate.check(context)
        if request.kind and request.kind not in KINDS:
            detail = f"kind is one of {', '.join(KINDS)}"
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, detail)
        if self.application.follower.state is ConfigState.UNKNOWN:
            detail = "no configuration is known yet; ask again, or another router"
            await context.abort(grpc.StatusCode.UNAVAILABLE, detail)
        snapshot = self.application.follower.snapshot
        reply = admin_pb2.ListReply(revision=snapshot.through + 1)
        for key, entry in sorted(snapshot.entries.items()):
            if not request.kind or key.startswith(request.kind + "/"):
                message = to_message(entry.object)
                reply.entries.add(object=message, revision=entry.revision)
        return reply

    async def Status(  # noqa: N802
        self, request: admin_pb2.StatusRequest, context: grpc.aio.ServicerContext
    ) -> admin_pb2.StatusReply:
        """Report the state of the router, its peers and its loads."""
        await self.gate.check(context)
        application = self.application
        own = application.membership.own
        reply = admin_pb2.StatusReply(
            router=own.router,
            data_centre=own.data_centre,
            version=__version__,
            revision=application.follower.snapshot.through + 1,
            ready=application.is_ready(),
            stopping=own.state is PeerState.STOPPING,
            control_bytes_sent=application.links.meter.sent_bytes,
            log_appends=application.log_appends(),
        )
        for member in application.membership.members.values():
            live = member.state is PeerState.LIVE
            reply.peers.add(
                router=member.router, data_centre=member.data_centre, live=live
            )
        self._add_loads(reply)
        return reply

    def _add_loads(self, reply: admin_pb2.StatusReply) -> None:
        application = self.application
        for (service, organisation), row in application.rows.rows.items():
            queues = application.dispatcher.queue(service).queues
            reply.loads.add(
                service=service,
                organisation=organisation,
                waiting=len(queues.get(organisation, ())),
                in_flight=row.in_flight,
                service_received=row.service,
                requests=row.requests,
            )

    async def DrainRouter(  # noqa: N802
        self,
        request: admin_pb2.DrainRouterRequest,
        context: grpc.aio.ServicerContext,
    ) -> admin_pb2.DrainRouterReply:
        """Start draining the router, which stops once its requests are finished."""
        await self.gate.check(context)
        self.application.begin_stop()
        return admin_pb2.DrainRouterReply()
