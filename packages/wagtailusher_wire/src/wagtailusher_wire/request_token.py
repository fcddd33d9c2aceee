"""Tokens that show which VM of the fleet handed a request on, bound to that request."""

from __future__ import annotations

from base64 import urlsafe_b64decode, urlsafe_b64encode
import binascii
from collections.abc import Sequence
from hashlib import sha256
import hmac

from wagtailusher_wire.errors import UnauthenticatedPeerError

_SEPARATOR = "."


class RequestSigner:
    """Signs a payload together with a request, with the first of the fleet's secrets."""

    def __init__(self, secrets: Sequence[bytes]) -> None:
        """Accept tokens that were signed with any of the secrets."""
        self._secrets = tuple(secrets)

    def sign(self, payload: bytes, method: str, target: str, body: bytes) -> str:
        """Return the token of a request."""
        mac = _mac(self._secrets[0], payload, method, target, body)
        parts = (urlsafe_b64encode(part).decode() for part in (payload, mac))
        return _SEPARATOR.join(parts)

    def verify(self, token: str, method: str, target: str, body: bytes) -> bytes:
        """Return a token's payload; raise UnauthenticatedPeerError if it is not of the request."""
        text, _, mac = token.partition(_SEPARATOR)
        try:
            payload, received = urlsafe_b64decode(text), urlsafe_b64decode(mac)
        except (ValueError, binascii.Error) as err:
            raise UnauthenticatedPeerError("The request's token cannot be decoded") from err
        expected = (_mac(secret, payload, method, target, body) for secret in self._secrets)
        if not any(hmac.compare_digest(received, mac) for mac in expected):
            raise UnauthenticatedPeerError("The request was not handed on by a VM of the fleet")
        return payload


def _mac(secret: bytes, payload: bytes, method: str, target: str, body: bytes) -> bytes:
    """Return the MAC that binds a payload to a request."""
    content = sha256(body).digest() + f"{method} {target}\n".encode()
    return hmac.digest(secret, payload + b"\n" + content, "sha256")
