"""Track live nodes and rank them for roles."""

from bilberryturn import rendezvous
from bilberryturn.membership import directory

Directory = directory.Directory
Member = directory.Member
rank = rendezvous.rank

__all__ = ["Directory", "Member", "rank"]
