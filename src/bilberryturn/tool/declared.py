"""Read declared sections through a node."""

from typing import Any


def sections_of_kind(client, kind: str) -> list[dict[str, Any]]:
    """Return the sections of one kind that are in force, with their names."""
    sections = client.call("GET", "/declarations")["sections"]
    return [
        {"name": name.partition(" ")[2], **options}
        for name, options in sections.items()
        if name.partition(" ")[0] == kind
    ]
