"""Load settings from a file."""

import pathlib

import expression

from bilberryturn import checks
from bilberryturn.conf import checks as settings_checks
from bilberryturn.conf import global_settings


def load(
    path: str,
) -> expression.Result[global_settings.Settings, list[checks.CheckMessage]]:
    """Read and check a settings file.

    Args:
        path: Path of the INI file.

    Returns:
        The settings, or the list of all faults.
    """
    text = checks.read_text(
        path, "E200", "Name a readable UTF-8 file with --settings"
    )
    if text.is_error():
        return expression.Error(text.error)
    settings, faults = settings_checks.check_text(text.ok, path)
    if settings is None:
        return expression.Error(faults)
    return expression.Ok(settings)


def read_secret(path: str) -> str:
    """Return the content of a secret file without surrounding whitespace.

    Raises:
        OSError: The file cannot be read.
    """
    return pathlib.Path(path).read_text(encoding="utf-8").strip()
