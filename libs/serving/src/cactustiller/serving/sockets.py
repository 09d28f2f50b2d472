"""Listening sockets whose connections have small receive buffers."""

import asyncio
import socket

# The kernel doubles these values. The first one bounds what a paused connection holds.
RECEIVE_BUFFER_BYTES = 16_384
SEND_BUFFER_BYTES = 65_536
# Connections that wait to be accepted, and those accepted in one round of the loop.
# Each of the latter has a descriptor before another connection gives way to it.
LISTEN_BACKLOG = 512
ACCEPTED_PER_ROUND = 16


async def listen_on(make_protocol, host, port, ssl_context=None):
    """Return an `asyncio.Server` on an IPv4 address.

    Parameters
    ----------
    make_protocol : callable
        Returns the protocol of a new connection.
    host : str
    port : int
        0 for any free port.

    Raises
    ------
    OSError
        If the address can't be used.
    """
    listening = socket.socket()
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted sockets inherit the sizes.
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        listening.bind((host, port))
        server = await asyncio.get_running_loop().create_server(
            make_protocol,
            sock=listening,
            backlog=ACCEPTED_PER_ROUND,
            ssl=ssl_context,
        )
    except BaseException:
        listening.close()
        raise
    # The loop has set its own number, which also bounds how many it accepts at once.
    listening.listen(LISTEN_BACKLOG)
    return server
