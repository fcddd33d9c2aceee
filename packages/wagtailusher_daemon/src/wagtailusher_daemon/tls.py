"""TLS contexts for callers and between the VMs."""

from __future__ import annotations

import ssl

from wagtailusher_daemon.exceptions import OptionsError
from wagtailusher_daemon.options import EntryOptions


def server_context(options: EntryOptions) -> ssl.SSLContext | None:
    """Return the server context, or None without a certificate; raise OptionsError."""
    if not options.tls_certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(options.tls_certificate, options.tls_key or None)
    except (OSError, ssl.SSLError) as err:
        raise OptionsError(f"--tls-certificate: {err}") from err
    return context


def peer_context(options: EntryOptions) -> ssl.SSLContext | None:
    """Return the client context for other VMs, which use TLS when this VM does, or None."""
    if not options.tls_certificate:
        return None
    try:
        return ssl.create_default_context(cafile=options.tls_ca or None)
    except (OSError, ssl.SSLError) as err:
        raise OptionsError(f"--tls-ca: {err}") from err
