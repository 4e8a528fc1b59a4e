"""Numbers that replace names on a link, so that each name is sent only once."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawayfold.protocol import peer_pb2


class NameTable:
    """Name table of one link, with separate numbers for each direction.

    Attributes
    ----------
    sent : dict of str to int
        Numbers of names already sent to the peer.
    received : dict of int to str
        Names received from the peer, by number.
    """

    def __init__(self) -> None:
        self.sent: dict[str, int] = {}
        self.received: dict[int, str] = {}

    def number(self, name: str, frame: peer_pb2.Frame) -> int:
        """Return the number of `name`; define it in `frame` at its first use."""
        number = self.sent.get(name)
        if number is None:
            number = self.sent[name] = len(self.sent)
            frame.names.add(id=number, name=name)
        return number

    def learn(self, frame: peer_pb2.Frame) -> None:
        """Store the names defined in `frame`."""
        for item in frame.names:
            self.received[item.id] = item.name

    def name(self, number: int) -> str:
        """Return the name to which the peer assigned `number`.

        Raises
        ------
        KeyError
            If the peer has not defined the number.
        """
        return self.received[number]
