"""Validate INI text against typed sections and report all faults at once."""

from bilberryturn.checks import files
from bilberryturn.checks import messages
from bilberryturn.checks import sections

CheckMessage = messages.CheckMessage
format_messages = messages.format_messages
parse_ini = sections.parse_ini
read_options = sections.read_options
read_section = sections.read_section
read_text = files.read_text

__all__ = [
    "CheckMessage",
    "format_messages",
    "parse_ini",
    "read_options",
    "read_section",
    "read_text",
]
