"""Define the numbered message in which a check reports a fault."""

from typing import NamedTuple


class CheckMessage(NamedTuple):
    """A fault in settings or declarations.

    Attributes:
        number: Stable identifier such as "E103".
        file: File that contains the fault, or an empty string.
        section: Section of the file.
        option: Option in the section, or an empty string.
        problem: Description of the fault.
        remedy: How to correct it.
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
    """Return the messages as text, one line for each."""
    return "\n".join(str(message) for message in messages)
