"""Commands of the tool, one module for each.

Each module defines add_parser, which registers the command and the function
that runs it.
"""

from bilberryturn.tool.commands import account
from bilberryturn.tool.commands import apply
from bilberryturn.tool.commands import backend
from bilberryturn.tool.commands import check
from bilberryturn.tool.commands import config
from bilberryturn.tool.commands import explain
from bilberryturn.tool.commands import key
from bilberryturn.tool.commands import plan
from bilberryturn.tool.commands import profile
from bilberryturn.tool.commands import status
from bilberryturn.tool.commands import trace
from bilberryturn.tool.commands import vm

ALL = (
    check,
    plan,
    apply,
    profile,
    key,
    account,
    vm,
    backend,
    status,
    explain,
    trace,
    config,
)
