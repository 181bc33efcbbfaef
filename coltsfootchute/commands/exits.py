"""Exit codes of the command line, and the exceptions that select them."""

import enum
import sys

from coltsfootchute import errors

__all__ = [
    "CommandError",
    "ConflictError",
    "ExitCode",
    "RefusedError",
    "UnknownOutcomeError",
    "UnreachableError",
    "UsageError",
    "exit_code",
    "report",
]


class ExitCode(enum.IntEnum):
    """Exit codes of the command ``coltsfootchute``."""

    OK = 0
    REFUSED = 1  # Invalid settings or document, not the owner, or failed start.
    USAGE = 2
    UNREACHABLE = 3  # Nothing was sent, or no address responded to a read.
    UNKNOWN = 4  # A change may or may not be in force; resend it to find out.
    CONFLICT = 5  # Another change was accepted after the expected revision.


class CommandError(errors.ColtsfootchuteError):
    """A command failed; subclasses name the exit code."""

    code = ExitCode.REFUSED


class RefusedError(CommandError):
    """The request was understood and refused."""


class UsageError(CommandError):
    """The command line is wrong."""

    code = ExitCode.USAGE


class UnreachableError(CommandError):
    """No address responded, and nothing was changed."""

    code = ExitCode.UNREACHABLE


class UnknownOutcomeError(CommandError):
    """A change may or may not be in force."""

    code = ExitCode.UNKNOWN


class ConflictError(CommandError):
    """Another change was accepted after the expected revision."""

    code = ExitCode.CONFLICT


def exit_code(exc: BaseException) -> ExitCode:
    """Return the exit code for an exception that ends a command."""
    if isinstance(exc, CommandError):
        return exc.code
    if isinstance(exc, errors.OutcomeUnknownError):
        return ExitCode.UNKNOWN
    if isinstance(exc, errors.UnavailableError):
        return ExitCode.UNREACHABLE
    return ExitCode.REFUSED


def report(exc: BaseException) -> ExitCode:
    """Print an exception as one line on stderr and return its exit code."""
    text = " ".join(str(exc).split()) or type(exc).__name__
    print(f"coltsfootchute: {text}", file=sys.stderr)
    return exit_code(exc)
