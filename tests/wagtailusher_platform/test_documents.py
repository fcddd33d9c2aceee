"""Tests of the decoding of runners' entries."""

from __future__ import annotations

from base64 import b64encode
import json
from typing import Any
import unittest

import msgspec

from wagtailusher_gateway import Endpoint
from wagtailusher_platform.documents import parse_entry

ENTRY = {"service": "engines", "address": "10.0.0.1:80", "zone": "a", "state": "ready", "born": 5}


def decoded(**fields: Any) -> Endpoint:
    """Return the endpoint of an entry with more fields."""
    return parse_entry("i-1", b64encode(json.dumps(ENTRY | fields).encode()).decode(), 0)


class EntryTest(unittest.TestCase):
    """The software version is that of the entry, and empty if it is unknown."""

    def test_software_version(self) -> None:
        self.assertEqual(decoded(version="v1.2").software_version, "v1.2")
        self.assertEqual(decoded(version=3).software_version, "3")
        self.assertEqual(decoded().software_version, "")

    def test_endpoint_of_a_build_without_versions_has_an_unknown_one(self) -> None:
        fields = msgspec.to_builtins(decoded(version="v1"))
        del fields["software_version"]
        endpoint = msgspec.msgpack.decode(msgspec.msgpack.encode(fields), type=Endpoint)
        self.assertEqual(endpoint.software_version, "")


if __name__ == "__main__":
    unittest.main()
