"""Runs the command-line tool in the test process."""

import contextlib
import io
import os

from bilberryturn.tool import client as tool_client
from bilberryturn.tool import main as tool_main
from bilberryturn_standins import cluster as cluster_module


def run_tool(node, *arguments, operator="ana", token=None):
    """Run the tool; returns its exit status and its combined output."""
    output = io.StringIO()
    variable = tool_client.TOKEN_VARIABLE
    os.environ[variable] = token or cluster_module.OPERATOR_TOKENS[operator]
    try:
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(output),
        ):
            status = tool_main.main(["--node", node.admin_address, *arguments])
    finally:
        del os.environ[variable]
    return status, output.getvalue()
