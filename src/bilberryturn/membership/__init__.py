"""Know which nodes are alive and rank them for roles."""

from bilberryturn.membership import directory
from bilberryturn.membership import rendezvous

Directory = directory.Directory
Member = directory.Member
rank = rendezvous.rank

__all__ = ["Directory", "Member", "rank"]
