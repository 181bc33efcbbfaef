"""The command ``coltsfootchute``.

=====  ==========================================================
code   meaning
=====  ==========================================================
0      done
1      refused: invalid settings or document, not the owner, or
       the role failed to start
2      wrong command line
3      no entry responded, and nothing was changed
4      the change may or may not be in force; resend it
5      conflict: another change was accepted first
=====  ==========================================================
"""

import signal
import sys
import typing

from coltsfootchute import errors

__all__ = ["main"]

ROLES = ("control", "entry", "node")
ROLE_ARGUMENTS = 2
INTERRUPTED = 130


def main(argv: typing.Sequence[str] | None = None) -> int:
    """Run one command.

    Parameters
    ----------
    argv
        Arguments without the program's name; `sys.argv` by default.

    Returns
    -------
    int
        The exit code; see `coltsfootchute.commands.exits.ExitCode`.

    Notes
    -----
    A role is started before cyclopts and rich are imported, because these would use
    a part of the 32 MB of memory to which the control role is limited. If a role was
    started from `sys.argv`, its end exits the process, and this function does not
    return.
    """
    args = list(sys.argv[1:] if argv is None else argv)
    try:
        if _starts_role(args):
            _prepare(args[0])
            from coltsfootchute.commands import roles

            roles.run(args[0], args[1])
            if argv is None:
                roles.end_process()
        else:
            _run_command(args)
    except KeyboardInterrupt:
        return INTERRUPTED
    except (errors.ColtsfootchuteError, OSError) as exc:
        from coltsfootchute.commands import exits

        return int(exits.report(exc))
    return 0


def _starts_role(args: list[str]) -> bool:
    known = len(args) == ROLE_ARGUMENTS and args[0] in ROLES
    return known and not args[1].startswith("-")


def _prepare(role: str) -> None:
    """Import a role without the modules that it does not use."""
    # SIGHUP for a change of the settings may arrive during the import.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from coltsfootchute import imports

    if role == "control":
        imports.load_control()
    else:
        imports.load_entry()


def _run_command(args: list[str]) -> None:
    import cyclopts

    from coltsfootchute.commands import apps, exits

    try:
        apps.build()(
            args, exit_on_error=False, print_error=False, result_action="return_value"
        )
    except cyclopts.CycloptsError as exc:
        raise exits.UsageError(str(exc)) from None


if __name__ == "__main__":
    sys.exit(main())
