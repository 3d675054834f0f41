"""Check declarations and the references between their sections."""

import difflib
import pathlib

from bilberryturn import checks
from bilberryturn.declarations import models

CHEAP_CHOICES = (
    models.CHEAP_NEVER,
    models.CHEAP_RESERVED,
    models.CHEAP_ALWAYS,
)
VM_MARKS = ("leaving", "joining")
MAX_NAME_CHARACTERS = 100


def read_files(
    path: str,
) -> tuple[
    dict[str, dict[str, str]], dict[str, str], list[checks.CheckMessage]
]:
    """Read one INI file or all *.ini files of a directory.

    Returns:
        Options by section, file by section, and the faults found.
    """
    root = pathlib.Path(path)
    files = sorted(root.glob("*.ini")) if root.is_dir() else [root]
    sections: dict[str, dict[str, str]] = {}
    file_by_section: dict[str, str] = {}
    faults: list[checks.CheckMessage] = []
    if not files:
        faults.append(
            checks.CheckMessage(
                "E300", path, "", "", "the folder holds no *.ini file",
                "Name the folder that holds the declarations",
            )
        )  # fmt: skip
    for file in files:
        try:
            text = file.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            faults.append(
                checks.CheckMessage(
                    "E300", str(file), "", "", f"cannot be read: {error}",
                    "Name a readable UTF-8 file",
                )
            )  # fmt: skip
            continue
        found, file_faults = checks.parse_ini(text, str(file))
        faults.extend(file_faults)
        for name, options in found.items():
            if name in sections:
                faults.append(
                    checks.CheckMessage(
                        "E301", str(file), name, "",
                        f"the section is also in {file_by_section[name]}",
                        "Keep one of them",
                    )
                )  # fmt: skip
            sections[name] = options
            file_by_section[name] = str(file)
    return sections, file_by_section, faults


def check_files(
    path: str,
) -> tuple[dict[str, dict[str, str]], list[checks.CheckMessage]]:
    """Read and check declaration files without network access.

    Args:
        path: File or directory.

    Returns:
        Sections by name and every fault found.
    """
    sections, file_by_section, faults = read_files(path)
    for name in sections:
        kind = models.kind_of(name)
        if kind in models.SECTION_KINDS and kind not in models.FILE_KINDS:
            faults.append(
                checks.CheckMessage(
                    "E305", file_by_section[name], name, "",
                    f"sections of kind {kind!r} are not declared in files",
                    "Use the commands `key`, `vm` and `backend` instead",
                )
            )  # fmt: skip
    faults.extend(check_sections(sections, file_by_section))
    return sections, faults


def check_sections(
    sections: dict[str, dict[str, str]],
    file_by_section: dict[str, str] | None = None,
) -> list[checks.CheckMessage]:
    """Check all sections and the references between them.

    Args:
        sections: Options by section name.
        file_by_section: File of each section, used in messages.

    Returns:
        Every fault found.
    """
    file_by_section = file_by_section or {}
    faults: list[checks.CheckMessage] = []
    typed: dict[str, dict] = {kind: {} for kind in models.SECTION_KINDS}
    for name, options in sections.items():
        file = file_by_section.get(name, "")
        kind, _, title = name.partition(" ")
        if kind not in models.SECTION_KINDS:
            faults.append(_unknown_kind(kind, file, name))
            continue
        if not title or len(title) > MAX_NAME_CHARACTERS or " " in title:
            faults.append(
                checks.CheckMessage(
                    "E303", file, name, "", "the section has no usable name",
                    f"Write [{kind} NAME] with a NAME without spaces",
                )
            )  # fmt: skip
            continue
        value, section_faults = checks.read_section(
            models.SECTION_KINDS[kind], options, file, name
        )
        faults.extend(section_faults)
        if value is not None:
            typed[kind][title] = value
    for kind, values in typed.items():
        for title, value in values.items():
            name = f"{kind} {title}"
            faults.extend(
                _check_value(
                    kind, value, sections, file_by_section.get(name, ""), name
                )
            )
    return faults


def _unknown_kind(kind: str, file: str, name: str) -> checks.CheckMessage:
    nearest = difflib.get_close_matches(
        kind, list(models.SECTION_KINDS), 1, 0.4
    )
    remedy = "Remove it"
    if nearest:
        remedy = f"Did you mean [{nearest[0]} NAME]"
    return checks.CheckMessage(
        "E302", file, name, "", "the kind of section is not known", remedy
    )


def _check_value(kind, value, sections, file, name):
    faults = []

    def add_fault(number: str, option: str, problem: str, remedy: str) -> None:
        faults.append(
            checks.CheckMessage(number, file, name, option, problem, remedy)
        )

    def check_reference(target_kind: str, title: str, option: str) -> None:
        if f"{target_kind} {title}" in sections:
            return
        add_fault(
            "E304",
            option,
            f"{target_kind} {title!r} is not declared",
            f"Declare [{target_kind} {title}] or correct the name",
        )

    if kind == "profile":
        if not 0 <= value.tier <= models.MAX_TIER:
            add_fault("E306", "tier", f"{value.tier} is not a tier",
                      f"Write a tier from 0 to {models.MAX_TIER}")  # fmt: skip
        if value.cheap not in CHEAP_CHOICES:
            add_fault("E307", "cheap", f"{value.cheap!r} is not a choice",
                      "Write never, reserved or always")  # fmt: skip
        if value.deadline_s <= 0:
            add_fault("E308", "deadline_s", "the deadline is zero",
                      "Write the longest time a request may take")  # fmt: skip
    if kind == "client_account":
        for profile in value.profiles:
            check_reference("profile", profile, "profiles")
        if not 0 < value.weight <= 1000:
            add_fault("E309", "weight", f"{value.weight} is not a weight",
                      "Write a number above 0 and up to 1000")  # fmt: skip
    if kind == "service":
        check_reference("profile", value.profile, "profile")
    if kind == "key":
        check_reference(
            "client_account", value.client_account, "client_account"
        )
    if kind == "vm" and value.mark not in VM_MARKS:
        add_fault("E310", "mark", f"{value.mark!r} is not a mark",
                      "Write leaving or joining")  # fmt: skip
    if kind == "backend_server" and value.mark != "draining":
        add_fault("E310", "mark", f"{value.mark!r} is not a mark",
                      "Write draining")  # fmt: skip
    if kind == "region_path" and len(value.regions) != 2:
        add_fault("E311", "regions", "a path joins two regions",
                      "Write two region names")  # fmt: skip
    return faults
