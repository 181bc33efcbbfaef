"""A load balancer for servers whose load shifts in milliseconds.

The package is a library with thin daemons. Decision logic is in packages that
do no I/O (`agreement`, `state`, `balancing`, `sections`); the daemons of
`control` and `entry` send and receive messages on their behalf.
"""

from coltsfootchute import errors, ids, registries, verdicts

__all__ = ["errors", "ids", "registries", "verdicts"]

__version__ = "0.1.0"
