"""Settings documents: parsing, validation, inheritance and revisions.

A document is accepted or rejected as a whole. Effective values are resolved on first access.
"""

from __future__ import annotations

from wagtailusher_settings.canonical import canonical_bytes, parse_revision
from wagtailusher_settings.chunks import (
    Bundle,
    ChunkAssembler,
    ChunkReference,
    Manifest,
    parse_manifest,
    split_document,
)
from wagtailusher_settings.diff import Change, PolicyChange, diff_policies, diff_settings
from wagtailusher_settings.document import is_json, load_document
from wagtailusher_settings.errors import Problem, SettingsError, UnknownKeyError
from wagtailusher_settings.parse import parse_settings
from wagtailusher_settings.policy import ClassPolicy, DeadlineBehaviour, FleetPolicy
from wagtailusher_settings.settings import Inherited, MergedRoute, Settings
from wagtailusher_settings.settings_cache import (
    Applied,
    NotNewer,
    ParsedDocument,
    Rejected,
    SettingsCache,
)

__all__ = [
    "Applied",
    "Bundle",
    "Change",
    "ChunkAssembler",
    "ChunkReference",
    "ClassPolicy",
    "DeadlineBehaviour",
    "FleetPolicy",
    "Inherited",
    "Manifest",
    "MergedRoute",
    "NotNewer",
    "ParsedDocument",
    "PolicyChange",
    "Problem",
    "Rejected",
    "Settings",
    "SettingsCache",
    "SettingsError",
    "UnknownKeyError",
    "canonical_bytes",
    "diff_policies",
    "diff_settings",
    "is_json",
    "load_document",
    "parse_manifest",
    "parse_revision",
    "parse_settings",
    "split_document",
]
