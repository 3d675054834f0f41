"""Read the declarations in force from a node."""

from typing import Any


def sections_of_kind(client, kind: str) -> list[dict[str, Any]]:
    """Return the sections of one kind, each as its name and options."""
    sections = client.call("GET", "/declarations")["sections"]
    return [
        {"name": name.partition(" ")[2], **options}
        for name, options in sections.items()
        if name.partition(" ")[0] == kind
    ]
