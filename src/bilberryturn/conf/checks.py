"""Check the sections, options and values of a settings file."""

import difflib
import ipaddress
import logging
import pathlib
from typing import Any

from bilberryturn import checks
from bilberryturn.conf import global_settings

ADDRESS_OPTIONS = frozenset(
    {
        "caller_address",
        "control_address",
        "admin_address",
        "advertised_control_address",
        "table_address",
        "objects_address",
        "vms_address",
        "ordering_address",
        "reporting_address",
        "seeds",
    }
)


def check_text(
    text: str, file: str
) -> tuple[global_settings.Settings | None, list[checks.CheckMessage]]:
    """Check the text of a settings file.

    Args:
        text: Content of the file.
        file: Name used in messages.

    Returns:
        The settings, or None if there are faults, and the list of all faults.
    """
    raw_sections, faults = checks.parse_ini(text, file)
    if faults:
        return None, faults
    for name in raw_sections:
        if name not in global_settings.SECTIONS:
            faults.append(_unknown_section(name, file))
    values = {}
    for name, section_class in global_settings.SECTIONS.items():
        options, section_faults = checks.read_options(
            section_class, raw_sections.get(name, {}), file, name
        )
        faults.extend(section_faults)
        complete = {**section_class._field_defaults, **options}
        faults.extend(_check_values(complete, file, name))
        if not section_faults:
            values[name] = section_class(**options)
    if faults:
        return None, faults
    return global_settings.Settings(**values), []


def _unknown_section(name: str, file: str) -> checks.CheckMessage:
    nearest = difflib.get_close_matches(
        name, list(global_settings.SECTIONS), 1, 0.4
    )
    remedy = f"Did you mean [{nearest[0]}]" if nearest else "Remove it"
    return checks.CheckMessage(
        "E201", file, name, "", "the section is not known", remedy
    )


def _check_values(
    values: dict[str, Any], file: str, section: str
) -> list[checks.CheckMessage]:
    """Check the values of one section.

    An option without a valid text has its default here, if it has one.
    """
    faults = []
    for option, value in values.items():
        if option in ADDRESS_OPTIONS:
            addresses = value if isinstance(value, tuple) else (value,)
            faults.extend(
                _address_fault(address, file, section, option)
                for address in addresses
                if address and not is_address(address)
            )
        if option.endswith("_file") and value:
            faults.extend(_check_file(value, file, section, option))
    if section == "logging" and not _is_level(values["level"]):
        faults.append(
            checks.CheckMessage(
                "E204", file, section, "level",
                f"{values['level']!r} is not a level",
                "Write debug, info, warning or error",
            )
        )  # fmt: skip
    if section == "timing" and (
        values["lease_ttl_s"] <= 2 * values["lease_margin_s"]
    ):
        faults.append(
            checks.CheckMessage(
                "E205", file, section, "lease_ttl_s",
                "the lease is not longer than twice its margin",
                "Raise lease_ttl_s or lower lease_margin_s",
            )
        )  # fmt: skip
    if section == "security" and bool(values["tls_certificate_file"]) != bool(
        values["tls_private_key_file"]
    ):
        faults.append(
            checks.CheckMessage(
                "E206", file, section, "tls_certificate_file",
                "a certificate needs its private key and the reverse",
                "Set both tls_certificate_file and tls_private_key_file",
            )
        )  # fmt: skip
    return faults


def _is_level(level: str) -> bool:
    return level.upper() in logging.getLevelNamesMapping()


def is_address(text: str) -> bool:
    """Return whether a text is an IP address with a port."""
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdigit() or int(port) > 65535:
        return False
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return True


def _address_fault(address, file, section, option) -> checks.CheckMessage:
    return checks.CheckMessage(
        "E202", file, section, option, f"{address!r} is not an address",
        "Write an IP number and a port such as 127.0.0.1:8080",
    )  # fmt: skip


def _check_file(path, file, section, option) -> list[checks.CheckMessage]:
    if pathlib.Path(path).is_file():
        return []
    return [
        checks.CheckMessage(
            "E203", file, section, option, f"the file {path!r} does not exist",
            "Create the file or correct the path",
        )
    ]  # fmt: skip
