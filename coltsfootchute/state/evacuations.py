"""Register of the failure domains that are evacuated."""

from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["EvacuationRegister"]


class EvacuationRegister:
    """Evacuations in force, by failure domain.

    Notes
    -----
    Starting an evacuation that is in force, or ending one that is not, changes nothing,
    so that an operator may send both calls again after an unknown outcome.
    """

    def __init__(self):
        self._started: dict[str, pb.Evacuation] = {}

    def __len__(self) -> int:
        return len(self._started)

    def apply(self, command: pb.Evacuation, clock_ms: int) -> pb.EvacuationOutcome:
        """Start or end an evacuation.

        Parameters
        ----------
        command
            The failure domain, and whether its evacuation ends. `started_ms` is
            ignored.
        clock_ms
            Clock of the machine in ms.

        Returns
        -------
        coltsfootchute_pb2.EvacuationOutcome
            Whether the command changed anything, and all evacuations after it.
        """
        domain = command.failure_domain
        applied = command.ended == (domain in self._started)
        if applied and command.ended:
            del self._started[domain]
        elif applied:
            self._started[domain] = pb.Evacuation(
                failure_domain=domain, started_ms=clock_ms
            )
        return pb.EvacuationOutcome(applied=applied, in_force=self.dump())

    def dump(self) -> list[pb.Evacuation]:
        """Return all evacuations in force, in the order of their starts."""
        return list(self._started.values())

    def load(self, evacuations: list[pb.Evacuation]) -> None:
        """Replace the contents of the register by dumped evacuations."""
        self._started = {item.failure_domain: item for item in evacuations}
