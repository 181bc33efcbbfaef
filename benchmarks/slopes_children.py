"""Programs that `slopes` starts as processes: roles under count, targets, callers."""

import os
import signal
import socket
import struct
import sys

__all__ = ["main"]

TCP_INFO_BYTES = 232
# Offset of tcpi_bytes_acked and tcpi_bytes_received in struct tcp_info.
TCP_INFO_OFFSET = 120


def open_tcp_bytes() -> int:
    """Return the bytes that went over this process's open TCP connections."""
    total = 0
    for name in os.listdir("/proc/self/fd"):
        try:
            is_socket = os.readlink(f"/proc/self/fd/{name}").startswith("socket:")
            sock = socket.socket(fileno=os.dup(int(name))) if is_socket else None
        except OSError:
            continue
        if sock is None:
            continue
        with sock:
            if sock.type != socket.SOCK_STREAM or sock.family != socket.AF_INET:
                continue
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
            total += sum(struct.unpack_from("<QQ", info, TCP_INFO_OFFSET))
    return total


def write_traffic_on_signal(path: str) -> None:
    """Write the traffic of this process to a file at each SIGUSR1."""

    def count(number, frame):
        with open(f"{path}.bytes.new", "w") as file:
            file.write(str(open_tcp_bytes()))
        os.rename(f"{path}.bytes.new", f"{path}.bytes")

    signal.signal(signal.SIGUSR1, count)


def run_control(path: str) -> int:
    """Run the control role with a count of its traffic."""
    from coltsfootchute.control import __main__

    write_traffic_on_signal(path)
    return __main__.main([path])


def run_entry(path: str) -> int:
    """Run the entry role with a count of its traffic."""
    from coltsfootchute.entry import __main__

    write_traffic_on_signal(path)
    return __main__.main(path)


def main(args: list[str]) -> int:
    """Run the program that the first argument names."""
    if args[0] == "control":
        return run_control(args[1])
    if args[0] == "entry":
        return run_entry(args[1])
    if args[0] == "target":
        from benchmarks import slopes_loads

        return slopes_loads.run_target()
    if args[0] == "caller":
        from benchmarks import slopes_loads

        return slopes_loads.run_caller()
    from benchmarks import slopes_states

    return slopes_states.run(args)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
