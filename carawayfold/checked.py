"""Checks of values that other programs write, made when they are decoded.

A field that is declared with one of these holds no other value than one that can be
used: sent in a message, written to a log, or passed to a socket.
"""

from __future__ import annotations

from msgspec import Meta

#: Most characters of a name. It is sent in datagrams.
MAX_NAME_LENGTH = 255
#: Text without control characters, line ends and what can't be encoded.
PLAIN_TEXT = r"^[^\x00-\x1f\x7f-\x9f\u2028\u2029\ud800-\udfff]*\Z"
#: A byte of a numeric address, without the leading zeros that mean octal numbers.
ADDRESS_BYTE = r"(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
#: First byte of the address of a host, not of a network, a group or all hosts.
FIRST_BYTE = r"(?:22[0-3]|2[01][0-9]|1[0-9]{2}|[1-9][0-9]?)"
#: Largest number in messages between routers, which have 64 bits and a sign.
MAX_INTEGER = 2**63 - 1

#: A name that may be empty, and one that may not.
TEXT = Meta(max_length=MAX_NAME_LENGTH, pattern=PLAIN_TEXT)
NAME = Meta(min_length=1, max_length=MAX_NAME_LENGTH, pattern=PLAIN_TEXT)
#: Numeric IPv4 address of a host. A host name would be resolved by the event loop.
HOST = Meta(pattern=rf"^{FIRST_BYTE}(?:\.{ADDRESS_BYTE}){{3}}\Z")
#: Port to which something can be sent.
PORT = Meta(ge=1, le=65535)
#: Capacity of a processor, in hundredths of a reference core.
PROCESSOR = Meta(ge=0, le=1_000_000)
#: Unix time in milliseconds and in seconds, until the year 5138.
UNIX_MILLISECONDS = Meta(ge=0, le=10**14)
UNIX_SECONDS = Meta(ge=0.0, le=10.0**11)
#: Number of tokens, bytes or requests; sums of many fit messages between routers.
COUNT = Meta(ge=0, le=10**12)
#: Rank of a route or an organisation.
PRIORITY = Meta(ge=-(10**9), le=10**9)
#: Duration in milliseconds, up to some three years.
MILLISECONDS = Meta(ge=0, le=10**11)
#: Number per second, or relative weight.
RATE = Meta(ge=0.0, le=10.0**15)
#: Number whose order matters: a version, a position or an incarnation.
ORDINAL = Meta(ge=0, le=MAX_INTEGER)
#: Number in messages between routers, up to sums of many.
AMOUNT = Meta(ge=0, le=MAX_INTEGER)
#: Milliseconds in messages between routers, until or since a moment.
SPAN = Meta(ge=-(10**14), le=10**14)
#: Routers of a fleet.
FLEET_SIZE = Meta(ge=0, le=10_000)
#: Duration of an endpoint's work, in percent of the usual one.
PERCENT = Meta(ge=1, le=10**9)
#: Seconds until or since a moment, and seconds that something lasts.
SECONDS = Meta(ge=-(10.0**11), le=10.0**11)
DURATION = Meta(ge=0.0, le=10.0**11)
#: Name of an endpoint that can be sent in a header, without backslashes, which begin
#: escapes of what is no text.
ENDPOINT_NAME = Meta(pattern=r"^[!-\[\]-~]{1,255}\Z")
#: Identifier of an incarnation of an endpoint: its name, the time of its start, and a
#: number where several are told apart.
ENDPOINT_ID = Meta(min_length=1, max_length=300, pattern=PLAIN_TEXT)
#: Slots of an endpoint.
SLOTS = Meta(ge=1, le=1_000_000)
#: Number of endpoints to which a request may be sent.
ATTEMPTS = Meta(ge=1, le=10**12)
#: Unix milliseconds of the start of an endpoint.
START_TIME = Meta(ge=0, le=10**15)
