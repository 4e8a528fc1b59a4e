"""Numbers in place of names on a link: each name is sent once."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawayfold.protocol import peer_pb2


class NameTable:
    """Names of one link, numbered separately in each direction.

    Attributes
    ----------
    sent : dict of str to int
        Numbers that the peer has been told.
    heard : dict of int to str
        Names that the peer has told.
    """

    def __init__(self) -> None:
        self.sent: dict[str, int] = {}
        self.heard: dict[int, str] = {}

    def number(self, name: str, frame: peer_pb2.Frame) -> int:
        """Return the number of `name`, defining it in `frame` at its first use."""
        number = self.sent.get(name)
        if number is None:
            number = self.sent[name] = len(self.sent)
            frame.names.add(id=number, name=name)
        return number

    def learn(self, frame: peer_pb2.Frame) -> None:
        """Take the names that `frame` defines."""
        for item in frame.names:
            self.heard[item.id] = item.name

    def name(self, number: int) -> str:
        """Return the name that the peer numbered so.

        Raises
        ------
        KeyError
            If the peer never defined it.
        """
        return self.heard[number]
