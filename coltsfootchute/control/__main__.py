"""Run the control role: ``python -m coltsfootchute.control SETTINGS``."""

import sys

from coltsfootchute import errors, imports


def main(args: list[str]) -> int:
    """Run the role; return the exit code."""
    if len(args) != 1:
        print("usage: python -m coltsfootchute.control SETTINGS", file=sys.stderr)
        return 2
    imports.load_control()
    from coltsfootchute import settings
    from coltsfootchute.control import daemons

    try:
        cfg = settings.load(args[0])
        if cfg.control is None:
            raise errors.SettingsError([("$.control", "missing")])
        daemons.run(cfg)
    except (errors.ColtsfootchuteError, OSError) as exc:
        print(f"control: {exc}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
