"""Counters of messages and bytes exchanged between daemons."""

from dataclasses import dataclass


@dataclass
class Traffic:
    """Messages and bytes exchanged with peers since the process started.

    A late reply arrives after its call has timed out or was cancelled.
    """

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    late_replies: int = 0

    def count_sent(self, size_bytes):
        """Count one sent frame."""
        self.sent_messages += 1
        self.sent_bytes += size_bytes

    def count_received(self, size_bytes):
        """Count one received frame."""
        self.received_messages += 1
        self.received_bytes += size_bytes
