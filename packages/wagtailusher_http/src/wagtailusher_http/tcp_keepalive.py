"""TCP keepalive of client connections."""

from __future__ import annotations

from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_USER_TIMEOUT,
)
from typing import Any

from wagtailusher_http.const import ClientLimits


def set_tcp_keepalive(socket: Any, limits: ClientLimits) -> None:
    """Set TCP keepalive so that the kernel detects an unreachable peer."""
    if socket is None or limits.keepalive_idle_s is None:
        return
    socket.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, limits.keepalive_idle_s)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, limits.keepalive_idle_s)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, limits.keepalive_probes)
    socket.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, limits.tcp_user_timeout_ms)
