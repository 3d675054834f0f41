"""Load the settings of a node from an INI file."""

from bilberryturn.conf import checks
from bilberryturn.conf import global_settings
from bilberryturn.conf import loader

Settings = global_settings.Settings
load = loader.load
check_text = checks.check_text

__all__ = ["Settings", "check_text", "load"]
