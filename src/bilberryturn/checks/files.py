"""Read the files that are checked."""

import pathlib

import expression

from bilberryturn.checks import messages


def read_text(
    path: str, code: str, remedy: str
) -> expression.Result[str, list[messages.CheckMessage]]:
    """Return the text of a file.

    Args:
        path: Path of a UTF-8 file.
        code: Number of the fault if it cannot be read.
        hint: What to do then.
    """
    try:
        return expression.Ok(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return expression.Error(
            [
                messages.CheckMessage(
                    code,
                    path,
                    "",
                    "",
                    f"the file cannot be read: {error}",
                    remedy,
                )
            ]
        )
