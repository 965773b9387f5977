"""A client session of the wire protocol."""

import asyncio
import itertools
import struct
from socket import SO_LINGER, SOL_SOCKET

_IDS = itertools.count(1)


class Answer:
    """A complete answer to one request."""

    def __init__(self) -> None:
        self.rows: list[bytes] = []
        self.receipt = b""
        self.error = b""
        self.state = b""
        self.position = b""

    @property
    def succeeded(self) -> bool:
        """Whether the request was completed."""
        return not self.error


class Client:
    """A session; statements run one after the other."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self.request_id = ""

    @classmethod
    async def connect(cls, address: str, database: str) -> "Client":
        """Opens a session; raises `ConnectionError` if it is refused."""
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        client = cls(reader, writer)
        writer.write(f"START {database} client\r\n".encode())
        line = await asyncio.wait_for(reader.readline(), 4)
        if not line.startswith(b"READY"):
            writer.close()
            raise ConnectionError(f"refused: {line!r}")
        return client

    def send(self, text: str) -> str:
        """Sends a request; returns its id."""
        self.request_id = f"{next(_IDS):016x}"
        self._writer.write(f"QUERY {self.request_id} {text}\r\n".encode())
        return self.request_id

    async def receive(self) -> Answer:
        """Reads an answer; raises `ConnectionError` if the session ends before it is complete."""
        answer = Answer()
        while True:
            line = await self._reader.readline()
            if not line.endswith(b"\r\n"):
                raise ConnectionError("the session ended without a complete answer")
            word, _, rest = line[:-2].partition(b" ")
            if word == b"ROW":
                answer.rows.append(rest)
            elif word == b"DONE":
                answer.receipt = rest
            elif word == b"ERR":
                answer.error = rest.partition(b" ")[0]
            else:
                answer.state, _, answer.position = rest.partition(b" ")
                return answer

    async def query(self, text: str) -> Answer:
        """Runs a statement."""
        self.send(text)
        return await self.receive()

    def close(self) -> None:
        """Ends the session."""
        self._writer.close()

    def reset(self) -> None:
        """Leaves with unread bytes, which resets the connection."""
        sock = self._writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
        self._writer.transport.abort()
