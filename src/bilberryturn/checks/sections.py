"""Convert INI sections to NamedTuples according to their type annotations."""

import configparser
import difflib
import functools
from typing import Any
from typing import get_args
from typing import get_origin
from typing import get_type_hints

from bilberryturn.checks import messages

TRUE_WORDS = frozenset({"yes", "true", "on", "1"})
FALSE_WORDS = frozenset({"no", "false", "off", "0"})


def parse_ini(
    text: str, file: str
) -> tuple[dict[str, dict[str, str]], list[messages.CheckMessage]]:
    """Split INI text into sections.

    Args:
        text: Content of the file.
        file: Name used in messages.

    Returns:
        Options by section, and the faults found.
    """
    parser = configparser.ConfigParser(
        interpolation=None, default_section="", strict=True
    )
    parser.optionxform = str
    try:
        parser.read_string(text, file)
    except configparser.Error as error:
        section = getattr(error, "section", "") or ""
        option = getattr(error, "option", "") or ""
        problem = str(error).splitlines()[0]
        return {}, [
            messages.CheckMessage(
                "E101", file, section, option, problem,
                "Write INI sections with one `option = value` a line, each"
                " name once",
            )
        ]  # fmt: skip
    return {name: dict(parser[name]) for name in parser.sections()}, []


@functools.cache
def _type_hints(section_class: type) -> dict[str, Any]:
    return get_type_hints(section_class)


def _convert(value_type: Any, text: str) -> Any:
    """Convert the text of an option.

    Raises:
        ValueError: The text has another form; the message is the expected one.
    """
    if value_type is bool:
        word = text.strip().lower()
        if word not in TRUE_WORDS | FALSE_WORDS:
            raise ValueError("yes or no")
        return word in TRUE_WORDS
    if value_type is int:
        return _parse_number(int, text, "a whole number")
    if value_type is float:
        return _parse_number(float, text, "a number")
    if get_origin(value_type) is tuple:
        item_type = get_args(value_type)[0]
        parts = [p.strip() for p in text.replace("\n", ",").split(",")]
        return tuple(_convert(item_type, part) for part in parts if part)
    return text.strip()


def _parse_number(value_type, text: str, expected: str):
    try:
        value = value_type(text)
    except ValueError:
        raise ValueError(expected) from None
    if value != value or abs(value) > 1e15:
        raise ValueError(expected)
    return value


def read_section(
    section_class: type, options: dict[str, str], file: str, section: str
) -> tuple[Any, list[messages.CheckMessage]]:
    """Build a NamedTuple from the options of a section.

    Returns:
        The NamedTuple, or None if there are faults, and the list of all faults.
    """
    values, faults = read_options(section_class, options, file, section)
    if faults:
        return None, faults
    return section_class(**values), []


def read_options(
    section_class: type, options: dict[str, str], file: str, section: str
) -> tuple[dict[str, Any], list[messages.CheckMessage]]:
    """Convert the options of a section.

    Args:
        section_class: NamedTuple class; its fields without a default are
            required.
        options: Option texts by name.
        file: File name for messages.
        section: Section name for messages.

    Returns:
        The converted options and the faults found. An option whose name ends
        in `_s`, `_bytes` or `_tokens` must not be negative.
    """
    hints = _type_hints(section_class)
    faults: list[messages.CheckMessage] = []
    values: dict[str, Any] = {}
    for option, text in options.items():
        if option not in hints:
            faults.append(_unknown_option(option, hints, file, section))
            continue
        try:
            values[option] = _convert(hints[option], text)
        except ValueError as error:
            faults.append(
                messages.CheckMessage(
                    "E103", file, section, option,
                    f"{text!r} has the wrong form", f"Write {error}",
                )
            )  # fmt: skip
            continue
        if option.endswith(("_s", "_bytes", "_tokens")) and values[option] < 0:
            faults.append(
                messages.CheckMessage(
                    "E105", file, section, option,
                    f"{text} is negative", "Write zero or more",
                )
            )  # fmt: skip
    required = set(hints) - set(section_class._field_defaults)
    for option in sorted(required - set(options)):
        faults.append(
            messages.CheckMessage(
                "E104", file, section, option, "the option is missing",
                f"Add `{option} = ...` to the section",
            )
        )  # fmt: skip
    return values, faults


def _unknown_option(option, known, file, section) -> messages.CheckMessage:
    nearest = difflib.get_close_matches(option, list(known), 1, 0.5)
    remedy = "Remove it"
    if nearest:
        remedy = f"Did you mean `{nearest[0]}`"
    return messages.CheckMessage(
        "E102", file, section, option, "the option is not known", remedy
    )
