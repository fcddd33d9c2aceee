"""Version and size limits of the protocol between VMs."""

from __future__ import annotations

from typing import Final

WIRE_VERSION: Final = 1

MAX_DATAGRAM_BYTES: Final = 1_200
MAX_STREAM_MESSAGE_BYTES: Final = 2 * 1_048_576

MAC_BYTES: Final = 16
MAX_VM_ID_BYTES: Final = 64
AUTH_OVERHEAD_BYTES: Final = 1 + 1 + MAX_VM_ID_BYTES + 8 + 8 + MAC_BYTES
MAX_PAYLOAD_BYTES: Final = MAX_DATAGRAM_BYTES - AUTH_OVERHEAD_BYTES

REPLAY_WINDOW_MESSAGES: Final = 1_024
MAX_REPLAY_SENDERS: Final = 2_048

MIN_SECRET_BYTES: Final = 16

MAX_NESTING: Final = 16
