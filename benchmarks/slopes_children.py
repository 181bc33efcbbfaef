"""Programs that `slopes` starts: roles, a target, a caller, state measurements."""

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
    """Return the bytes sent and received over the open IPv4 TCP connections."""
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
    """Write the TCP bytes of this process to `path`.bytes on each SIGUSR1."""

    def write(number, frame):
        with open(f"{path}.bytes.new", "w") as file:
            file.write(str(open_tcp_bytes()))
        os.rename(f"{path}.bytes.new", f"{path}.bytes")

    signal.signal(signal.SIGUSR1, write)


def run_control(path: str) -> int:
    """Run the control role and write its traffic on SIGUSR1."""
    from coltsfootchute.control import __main__

    write_traffic_on_signal(path)
    return __main__.main([path])


def run_entry(path: str) -> int:
    """Run the entry role and write its traffic on SIGUSR1."""
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
