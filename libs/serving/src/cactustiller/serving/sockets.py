"""Listening sockets whose connections have small receive buffers."""

import asyncio
import socket

# The kernel doubles these values. The first one bounds what a paused connection holds.
RECEIVE_BUFFER_BYTES = 16_384
SEND_BUFFER_BYTES = 65_536
# Connections that wait to be accepted.
LISTEN_BACKLOG = 512
# Connections that are accepted in one round of the loop, at most and as a share of
# those allowed. Each has a descriptor until another one has been closed for it.
MAX_ACCEPTED_PER_ROUND = 16
ACCEPTED_SHARE = 1 / 16


async def listen_on(make_protocol, host, port, max_connections, ssl_context=None):
    """Return an `asyncio.Server` on an IPv4 address.

    Parameters
    ----------
    make_protocol : callable
        Returns the protocol of a new connection.
    host : str
    port : int
        0 for any free port.
    max_connections : int
        Number that the caller keeps open.
    ssl_context : ssl.SSLContext, optional

    Raises
    ------
    OSError
        If the address can't be used.
    """
    accepted_per_round = int(max_connections * ACCEPTED_SHARE)
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
            backlog=max(1, min(MAX_ACCEPTED_PER_ROUND, accepted_per_round)),
            ssl=ssl_context,
        )
    except BaseException:
        listening.close()
        raise
    # The loop has set its own number, which also bounds how many it accepts at once.
    listening.listen(LISTEN_BACKLOG)
    return server
