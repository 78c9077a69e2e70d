"""The wisteriaproxy daemon."""

from .settings import Settings, SettingsErrors, load_settings

__all__ = ["Settings", "SettingsErrors", "load_settings"]
