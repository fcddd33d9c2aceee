"""The tree of settings: inheritance, validation and revisions.

A document is parsed whole or refused whole. Values are resolved when they are first asked for.
"""

from __future__ import annotations

from wagtailusher_settings.canonical import canonical_bytes, peek_revision
from wagtailusher_settings.chunks import (
    Bundle,
    ChunkAssembler,
    ChunkReference,
    Manifest,
    parse_manifest,
    split_document,
)
from wagtailusher_settings.diff import Change, PolicyChange, diff_settings, reach_of_change
from wagtailusher_settings.document import load_document
from wagtailusher_settings.errors import Problem, SettingsError, UnknownKeyError
from wagtailusher_settings.keeper import Applied, Ignored, Prepared, Refused, SettingsKeeper
from wagtailusher_settings.parse import parse_settings
from wagtailusher_settings.policy import ClassPolicy, DeadlineBehaviour, FleetPolicy
from wagtailusher_settings.settings import Inherited, MergedRoute, Settings

__all__ = [
    "Applied",
    "Bundle",
    "Change",
    "ChunkAssembler",
    "ChunkReference",
    "ClassPolicy",
    "DeadlineBehaviour",
    "FleetPolicy",
    "Ignored",
    "Inherited",
    "Manifest",
    "MergedRoute",
    "PolicyChange",
    "Prepared",
    "Problem",
    "Refused",
    "Settings",
    "SettingsError",
    "SettingsKeeper",
    "UnknownKeyError",
    "canonical_bytes",
    "diff_settings",
    "load_document",
    "parse_manifest",
    "parse_settings",
    "peek_revision",
    "reach_of_change",
    "split_document",
]
