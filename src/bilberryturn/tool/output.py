"""Print results as aligned tables or as JSON."""

import sys
from typing import Any

import msgspec


def print_json(value: Any) -> None:
    """Print a value as one JSON document."""
    encoded = msgspec.json.format(msgspec.json.encode(value), indent=2)
    print(encoded.decode())


def print_table(rows: list[dict[str, Any]], columns: list[str]) -> None:
    """Print rows as an aligned table with column titles."""
    titles = [column.upper().replace("_", " ") for column in columns]
    lines = [titles]
    lines.extend([_format_cell(row.get(c)) for c in columns] for row in rows)
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    for line in lines:
        cells = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        print("  ".join(cells).rstrip())


def print_progress(text: str) -> None:
    """Print a progress message to standard error."""
    print(text, file=sys.stderr, flush=True)


def print_in_force(response: dict[str, Any]) -> None:
    """Print on how many nodes a version is in force and the pending domains."""
    print(
        f"version {response['version']} in force on"
        f" {response['nodes_ready']} of {response['nodes_total']} nodes"
    )
    for domain in response["pending_domains"]:
        print(f"pending: failure domain {domain} has not confirmed")


def _format_cell(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list | tuple):
        return ",".join(_format_cell(item) for item in value)
    return str(value)
