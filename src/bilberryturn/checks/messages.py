"""Define the numbered fault that every check reports."""

from typing import NamedTuple


class CheckMessage(NamedTuple):
    """Describes one fault of settings or declarations.

    Attributes:
        number: Stable identifier such as "E103".
        file: File that holds the fault, or an empty string.
        section: Section of the file.
        option: Option in the section, or an empty string.
        problem: What is wrong.
        remedy: What to write instead.
    """

    number: str
    file: str
    section: str
    option: str
    problem: str
    remedy: str

    def __str__(self):
        location = f"{self.file}: [{self.section}]"
        if self.option:
            location = f"{location} {self.option}"
        return f"{self.number} {location}: {self.problem}. {self.remedy}."


def format_messages(messages: list[CheckMessage]) -> str:
    """Return one line for each message."""
    return "\n".join(str(message) for message in messages)
