"""Read the text of a file to check."""

import pathlib

import expression

from bilberryturn.checks import messages


def read_text(
    path: str, code: str, remedy: str
) -> expression.Result[str, list[messages.CheckMessage]]:
    """Return the text of a file, or a message if it cannot be read.

    Args:
        path: Path of a UTF-8 file.
        code: Number of that message, such as "E200".
        remedy: Remedy of that message.
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
