"""Leases with fencing numbers, stored in the table service."""

from bilberryturn.leases import lease

Lease = lease.Lease
LeaseOptions = lease.LeaseOptions
boottime_s = lease.boottime_s

__all__ = ["Lease", "LeaseOptions", "boottime_s"]
