"""Builders of datagrams that no router sends, beside the same that routers send."""

from __future__ import annotations

import random
import re
from functools import singledispatchmethod
from typing import get_args

import msgspec

from carawayfold.protocol.datagrams import Message
from tests.platform.record_builders import CONTENT, NESTED

#: Messages by the name of their class, as lists of their tag and fields.
SOUND = {
    "Heartbeat": [1, "north", False, 3, 7, 120, 100, True, 4],
    "OfferMessage": [2, "model/0", "r.0.1", "alder", "r", 1, [["p", 9]], 9, 4, 80, 900],
    "RejectMessage": [6, "r.0.1", "full", 100],
    "FirstByteMessage": [7, "model/0", "r.0.1", 5, [1, 2, 8, 100, 0]],
    "HubListMessage": [10, "north", [["router-2", "127.0.0.1", 7400, 1, 100]]],
    "CrashMessage": [11, CONTENT, "alder", "m-1", 5, True, False, 10, 20],
    "SuccessMessage": [12, CONTENT, "alder", 5],
    "VerdictMessage": [13, CONTENT, "alder", "rested", 5, 10, 20, 30, ["m-1"]],
    "StreamBegunMessage": [17, "s-1", "r", "model", "v1", 500],
}
#: Fields that no router sends: the message, the index of the field, and the value.
ODD = [
    ("Heartbeat", 1, "north\r\n"),
    ("Heartbeat", 1, "n" * 300),
    ("Heartbeat", 3, -1),
    ("Heartbeat", 4, 2**63),
    ("Heartbeat", 5, -(2**60)),
    ("Heartbeat", 6, 2**63),
    ("Heartbeat", 6, -1),
    ("Heartbeat", 8, 2**60),
    ("Heartbeat", 8, -1),
    ("OfferMessage", 5, 2**63),
    ("OfferMessage", 6, [["p", -1]]),
    ("OfferMessage", 7, -1),
    ("OfferMessage", 9, 2**60),
    ("OfferMessage", 10, -(2**60)),
    ("RejectMessage", 3, 2**60),
    ("FirstByteMessage", 3, 2**60),
    ("FirstByteMessage", 4, [1, 2, 8, 0, 0]),
    ("FirstByteMessage", 4, [1, -2, 8, 100, 0]),
    ("HubListMessage", 2, [["router-2", "127.0.0.1", 70000, 1, 100]]),
    ("HubListMessage", 2, [["router-2", "127.0.0.1", 0, 1, 100]]),
    ("HubListMessage", 2, [["router-2", "a\0b", 7400, 1, 100]]),
    ("HubListMessage", 2, [["router-2", "localhost", 7400, 1, 100]]),
    ("HubListMessage", 2, [["router-2", "255.255.255.255", 7400, 1, 100]]),
    ("HubListMessage", 2, [["router-2\n", "127.0.0.1", 7400, 1, 100]]),
    ("HubListMessage", 2, [["router-2", "127.0.0.1", 7400, 1, 2**63]]),
    ("CrashMessage", 1, "summary"),
    ("CrashMessage", 1, ""),
    ("CrashMessage", 4, 2**60),
    ("CrashMessage", 7, 2**60),
    ("SuccessMessage", 1, "summary"),
    ("SuccessMessage", 3, -(2**60)),
    ("VerdictMessage", 1, "summary"),
    ("VerdictMessage", 3, "harmless"),
    ("VerdictMessage", 4, -1),
    ("VerdictMessage", 6, 2**60),
    ("StreamBegunMessage", 5, 2**60),
]


def datagram(*messages, sender="router-1", incarnation=7):
    """Return an encoded datagram with the fields given, whatever they are."""
    return msgspec.msgpack.encode([sender, incarnation, list(messages)])


def odd_message(name, index, value):
    """Return a message of which one field is odd."""
    fields = list(SOUND[name])
    fields[index] = value
    return fields


def nested_datagram():
    """Return a datagram with a further field that is nested too deeply."""
    whole = bytearray(datagram(SOUND["Heartbeat"]))
    whole[0] += 1
    return bytes(whole) + b"\x91" * len(NESTED) + b"\x90"


#: Encoded datagrams of which no part can be used.
ODD_DATAGRAMS = [
    *[datagram(odd_message(*odd)) for odd in ODD],
    *[
        datagram(SOUND["Heartbeat"], sender=sender)
        for sender in ("", "a\0b", "router\n", "r" * 300)
    ],
    datagram(SOUND["Heartbeat"], incarnation=-1),
    nested_datagram(),
]


#: Texts that messages between routers contain, in any of their fields.
TEXTS = (
    *("router-1", "router-2", "m-1", "m-2", "d-1", "north", "south", "r.0.1", "/", ""),
    *("model/0", "desk/0", "model/1", "desk/x", "model", "desk", "contents/1", CONTENT),
    *("whole", "failed", "silent", "not-run", "sole", "recorded", "x" * 200),
)
#: Texts for fields with a form of their own.
FORMED_TEXTS = (CONTENT, f"{CONTENT[::-1]}.part", "127.0.0.1", "192.0.2.1")


class RandomMessages:
    """Draws messages with any values that their fields may hold.

    Parameters
    ----------
    seed : int
        Seed of the generator.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.kinds = msgspec.inspect.multi_type_info(get_args(Message))

    def draw(self):
        """Return a message as a list of its tag and fields."""
        return self.value(self.random.choice(self.kinds))

    @singledispatchmethod
    def value(self, kind):
        """Return a value of a type as `msgspec.inspect` describes it."""
        raise TypeError(kind)

    @value.register
    def _(self, kind: msgspec.inspect.StructType):
        fields = [self.value(item.type) for item in kind.fields]
        return fields if kind.tag is None else [kind.tag, *fields]

    @value.register
    def _(self, kind: msgspec.inspect.UnionType):
        return self.value(self.random.choice(kind.types))

    @value.register
    def _(self, kind: msgspec.inspect.ListType):
        return [
            self.value(kind.item_type) for _ in range(self.random.choice((0, 1, 4)))
        ]

    @value.register
    def _(self, kind: msgspec.inspect.TupleType):
        return [self.value(item) for item in kind.item_types]

    @value.register
    def _(self, kind: msgspec.inspect.EnumType):
        return self.random.choice(list(kind.cls)).value

    @value.register
    def _(self, kind: msgspec.inspect.NoneType):
        return None

    @value.register
    def _(self, kind: msgspec.inspect.BoolType):
        return self.random.random() < 0.5

    @value.register
    def _(self, kind: msgspec.inspect.IntType):
        least = -(2**63) if kind.ge is None else kind.ge
        most = 2**63 - 1 if kind.le is None else kind.le
        usual = self.random.choice((0, 1, 5, 2000, 10 ** self.random.randrange(19)))
        return self.random.choice((least, most, min(max(usual, least), most)))

    @value.register
    def _(self, kind: msgspec.inspect.StrType):
        least = kind.min_length or 0
        texts = [text for text in (*TEXTS, *FORMED_TEXTS) if len(text) >= least]
        if kind.pattern is not None:
            texts = [text for text in texts if re.search(kind.pattern, text)]
        return self.random.choice(texts)
