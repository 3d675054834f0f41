"""Operators' declarations: sections, changes, versions and keys."""

from bilberryturn.declarations import changes
from bilberryturn.declarations import checks
from bilberryturn.declarations import exceptions
from bilberryturn.declarations import keys
from bilberryturn.declarations import models
from bilberryturn.declarations import store

Change = changes.Change
Conflict = exceptions.ConfigConflictError
Declarations = models.Declarations
DeclarationStore = store.DeclarationStore
KeyHasher = keys.KeyHasher
check_files = checks.check_files
check_sections = checks.check_sections
difference = changes.difference

__all__ = [
    "Change",
    "Conflict",
    "DeclarationStore",
    "Declarations",
    "KeyHasher",
    "check_files",
    "check_sections",
    "difference",
]
