"""Reads requests from a connection, within limits on bytes, lines and time.

The parsers are those of the standard library and of pywsgi. They are given no more than
the limits allow, and their reads let others have their turn.
"""

import email.parser
import io
import typing as t

from gevent import pywsgi

from mangosail.front import memory, refusals, turns

#: Bytes that are read from a connection at a time.
PIECE_BYTES = 16 * 1024
#: Reads, and bytes, after which a connection waits for its next turn.
READS_PER_TURN = 1000
BYTES_PER_TURN = 64 * 1024
#: Header lines that are parsed without waiting for a turn.
LINES_PER_TURN = 50
#: Memory of a parsed header line in bytes, besides its text.
LINE_BYTES = 400
#: Copies of a head's text that are held while it is parsed.
HEAD_COPIES = 2
#: Bytes that a chunked body may take for each byte of its content: as many as chunks
#: of one byte take, with two bytes to spare.
ENCODED_BYTES_PER_BYTE = 8


class Reader:
    """A connection's input, as the file that pywsgi reads from."""

    def __init__(
        self,
        file: io.BufferedReader,
        reservation: memory.Reservation,
        port_turns: turns.Turns,
    ) -> None:
        self.file = file
        self.reservation = reservation
        self.turns = port_turns
        #: Bytes that may still be read of the current part of a request.
        self.allowed = 0
        #: Raised if more than that arrives.
        self.excess = refusals.Refused(refusals.Reason.MALFORMED, "the request")
        #: Reads and bytes since the last turn.
        self.reads = 0
        self.bytes = 0

    @property
    def closed(self) -> bool:
        """Return whether the file is closed."""
        return self.file.closed

    def close(self) -> None:
        """Close the file."""
        self.file.close()

    def allow(self, count: int, excess: refusals.Refused) -> None:
        """Allow `count` bytes for the next part of a request, or else `excess`."""
        self.allowed = count
        self.excess = excess

    def await_request(self, max_empty_bytes: int) -> bool:
        """Wait for the first byte of a request; False if the connection has ended.

        Empty lines before it are skipped (RFC 9112, section 2.2).
        """
        excess = refusals.Refused(refusals.Reason.MALFORMED, "too many empty lines")
        self.allow(max_empty_bytes, excess)
        while True:
            data = self.file.peek(1)
            if not data:
                return False
            empty = len(data) - len(data.lstrip(b"\r\n"))
            if not empty:
                return True
            self._spend(empty)
            self.file.read(empty)

    def read(self, size: int = -1) -> bytes:
        """Return `size` bytes, fewer at the end of the input."""
        if size < 0:
            size = self.allowed + 1
        if size == 1:
            # pywsgi reads the frame of each chunk byte by byte.
            self._spend(1)
            self.reservation.grow(1)
            return self.file.read(1)
        pieces = []
        while size > 0:
            data = self.file.read1(min(size, PIECE_BYTES))
            if not data:
                break
            self._spend(len(data))
            self.reservation.grow(len(data))
            pieces.append(data)
            size -= len(data)
        return b"".join(pieces)

    def readline(self, size: int = -1) -> bytes:
        """Return the next line, at most as long as what is allowed."""
        left = self.allowed + 1
        if size >= 0:
            left = min(size, left)
        pieces = []
        while left > 0:
            piece = self.file.readline(min(left, PIECE_BYTES))
            self._spend(len(piece))
            self.reservation.grow(len(piece))
            pieces.append(piece)
            left -= len(piece)
            if not piece or piece.endswith(b"\n"):
                break
        return b"".join(pieces)

    def _spend(self, count: int) -> None:
        """Count bytes that were read, and wait for a turn if they were many."""
        self.allowed -= count
        if self.allowed < 0:
            raise self.excess
        self.reads += 1
        self.bytes += count
        if self.reads >= READS_PER_TURN or self.bytes >= BYTES_PER_TURN:
            self.take_turn()

    def take_turn(self) -> None:
        """Let others have their turn."""
        self.reads = self.bytes = 0
        self.turns.wait()


def read_request_line(reader: Reader, max_bytes: int) -> bytes:
    """Return the request line, or raise `refusals.Refused`."""
    excess = refusals.Refused(
        refusals.Reason.LONG_REQUEST_LINE,
        f"the request line: at most {max_bytes} bytes",
    )
    reader.allow(max_bytes, excess)
    line = reader.readline()
    if not line.endswith(b"\n"):
        raise refusals.Refused(
            refusals.Reason.MALFORMED, "the request line ended early"
        )
    reader.reservation.grow(HEAD_COPIES * len(line))
    return line


def read_headers(reader: Reader, max_bytes: int) -> pywsgi.OldMessage:
    """Return the parsed header lines, or raise `refusals.Refused`."""
    excess = refusals.Refused(
        refusals.Reason.LARGE_HEAD, f"the headers: at most {max_bytes} bytes"
    )
    reader.allow(max_bytes, excess)
    lines = []
    while True:
        line = reader.readline()
        if not line.endswith(b"\n"):
            raise refusals.Refused(refusals.Reason.MALFORMED, "the headers ended early")
        if line in (b"\r\n", b"\n"):
            break
        reader.reservation.grow(HEAD_COPIES * len(line) + LINE_BYTES)
        lines.append(line)
    if len(lines) > LINES_PER_TURN:
        reader.take_turn()
    return parse_headers(b"".join(lines))


def parse_headers(data: bytes) -> pywsgi.OldMessage:
    """Parse header lines, of which the last one is not empty.

    The parser is that of `http.client`, without its limit on the number of lines.
    """
    parser = email.parser.HeaderParser(_class=pywsgi.OldMessage)
    message: t.Any = parser.parsestr(data.decode("iso-8859-1"))
    if message.defects or message.get_payload():
        # The lines after the defect were not parsed, among them maybe the length of
        # the body.
        raise refusals.Refused(refusals.Reason.MALFORMED, "a header line")
    return message
