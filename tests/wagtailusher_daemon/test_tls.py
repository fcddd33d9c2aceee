"""Tests of TLS towards callers and between the VMs."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
import ipaddress
import json
from pathlib import Path
import ssl
import tempfile
import unittest

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from tests.wagtailusher_daemon.fleet import API_KEY, Fleet
from wagtailusher_client import CallerClient
from wagtailusher_http import ConnectError, HttpClient


def write_certificate(folder: Path) -> Path:
    """Write a certificate for loopback and its key into one file."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "entry")])
    now = datetime.now(UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - timedelta(hours=1))
        .not_valid_after(now + timedelta(hours=1))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .sign(key, hashes.SHA256())
    )
    path = folder / "entry.pem"
    private = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    path.write_bytes(private + certificate.public_bytes(serialization.Encoding.PEM))
    return path


class TlsTest(unittest.IsolatedAsyncioTestCase):
    """Callers and peers use TLS; a caller that does not trust the certificate can't connect."""

    async def asyncSetUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.path = write_certificate(Path(self.folder.name))
        self.fleet = Fleet(options={"tls_certificate": str(self.path), "tls_ca": str(self.path)})
        await self.fleet.async_start()

    async def asyncTearDown(self) -> None:
        await self.fleet.async_stop()
        self.folder.cleanup()

    async def test_a_booking_is_forwarded_to_its_home_over_tls(self) -> None:
        context = ssl.create_default_context(cafile=str(self.path))
        http = HttpClient(ssl_context=context)
        answer = await http.async_request(self.fleet.apps[0].address, "POST", "/v1/tickets")
        ticket = json.loads(await answer.async_read())["ticket"]
        answer = await http.async_request(
            self.fleet.apps[1].address,
            "POST",
            "/services/bookings/new",
            self.fleet.headers({"x-wagtailusher-ticket": ticket}),
            b'{"booking_id": "b1"}',
        )
        self.assertEqual(answer.status, 200, await answer.async_read())
        http.close()
        client = CallerClient((self.fleet.apps[0].address,), API_KEY, seed=1, ssl_context=context)
        await client.async_call_once("bookings", "new", b'{"booking_id": "b2"}')
        client.close()
        self.assertEqual(dict(self.fleet.booking.executions), {"b1": 1, "b2": 1})

    async def test_untrusted_certificate_is_refused(self) -> None:
        http = HttpClient(ssl_context=ssl.create_default_context())
        with self.assertRaises(ConnectError):
            await http.async_request(self.fleet.apps[0].address, "GET", "/healthz")


if __name__ == "__main__":
    unittest.main()
