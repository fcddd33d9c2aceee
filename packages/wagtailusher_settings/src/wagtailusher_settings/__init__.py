"""The tree of settings: inheritance, validation and revisions.

A document is parsed whole or refused whole. Values are resolved when they are first asked for.
"""

from __future__ import annotations

from wagtailusher_settings.errors import Problem, SettingsError, UnknownKeyError
from wagtailusher_settings.keeper import Applied, Ignored, Refused, SettingsKeeper
from wagtailusher_settings.parse import parse_settings
from wagtailusher_settings.policy import ClassPolicy, DeadlineBehaviour, FleetPolicy
from wagtailusher_settings.settings import Inherited, MergedRoute, Settings

__all__ = [
    "Applied",
    "ClassPolicy",
    "DeadlineBehaviour",
    "FleetPolicy",
    "Ignored",
    "Inherited",
    "MergedRoute",
    "Problem",
    "Refused",
    "Settings",
    "SettingsError",
    "SettingsKeeper",
    "UnknownKeyError",
    "parse_settings",
]
