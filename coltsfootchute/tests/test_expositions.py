"""Guards against a process whose metrics are not where its settings say."""

import asyncio
import json
import signal
import socket
import subprocess
import sys
import urllib.request

import pytest

from coltsfootchute import expositions
from coltsfootchute.control import feeds, metrics
from coltsfootchute.proto import coltsfootchute_pb2 as pb
from coltsfootchute.tests import test_imports

START = """
from coltsfootchute.commands import main
status = main.main(["node", *sys.argv[1:]])
"""


async def fetch(address):
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b"GET /metrics HTTP/1.0\r\n\r\n")
    try:
        return await reader.read()
    finally:
        writer.close()


def run_node(folder, port, use):
    """Run both roles in one process; return the modules that it imported."""
    local = "127.0.0.1:0"
    initial = [{"name": "a", "address": local}]
    control = {"peer": local, "data": "data", "initial": initial}
    entry = {"api": local, "peer": local, "control": ["127.0.0.1:1"], "stop_s": 1}
    cfg = {"instance": {"name": "a", "failure_domain": "fd"}, "control": control}
    cfg |= {"entry": entry, "metrics": f"127.0.0.1:{port}"}
    path = folder / "settings.json"
    path.write_text(json.dumps(cfg))
    command = [sys.executable, "-c", test_imports.PROGRAM % START, str(path)]
    pipes = {"stdout": subprocess.PIPE, "stderr": subprocess.PIPE}
    with subprocess.Popen(command, text=True, **pipes) as process:
        try:
            assert any("serves metrics" in line for line in process.stderr)
            use()
            process.send_signal(signal.SIGTERM)
            return set(process.stdout.read().split())
        finally:
            process.kill()


def test_one_address_has_the_metrics_of_both_roles(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as sock:
        port = sock.getsockname()[1]
    pages = []

    def use():
        with urllib.request.urlopen(f"http://127.0.0.1:{port}/metrics") as response:
            assert response.headers["Content-Type"] == expositions.CONTENT_TYPE
            pages.append(response.read().decode())

    modules = run_node(tmp_path, port, use)
    names = {line.split()[2] for line in pages[0].splitlines() if "# TYPE" in line}
    assert {"coltsfootchute_control_leader", "coltsfootchute_stale"} <= names
    assert "prometheus_client" in modules


def test_the_library_is_not_loaded_before_metrics_are_fetched(tmp_path):
    """It would take some megabytes of each process."""
    modules = run_node(tmp_path, 0, lambda: None)
    assert "coltsfootchute.entry.daemons" in modules
    assert "prometheus_client" not in modules


@pytest.mark.parametrize("taken", [False, True])
def test_an_address_in_use_costs_the_metrics_only(taken):
    """A role must not stay down since something else listens there."""

    async def play():
        with socket.create_server(("127.0.0.1", 0)) as sock:
            port = sock.getsockname()[1] if taken else 0
            listener = expositions.Listener(f"127.0.0.1:{port}")
            await listener.start([lambda: b"a 1\n", lambda: b"b 2\n"])
            try:
                if taken:
                    assert listener.addresses == []
                    return
                (address,) = listener.addresses
                assert (await fetch(address)).endswith(b"a 1\nb 2\n")
            finally:
                await listener.stop()

    asyncio.run(play())


def test_without_an_address_nothing_listens():
    async def play():
        listener = expositions.Listener(None)
        await listener.start([lambda: b""])
        assert listener.addresses == []
        await listener.stop()

    asyncio.run(play())


@pytest.mark.parametrize("role", ["process", "control"])
def test_a_body_that_is_never_whole_does_not_hold_a_stop_up(role):
    async def play():
        if role == "process":
            listener = expositions.Listener("127.0.0.1:0")
            await listener.start([lambda: b"a 1\n"])
        else:
            listener = metrics.MetricsServer(pb.StatusReply, feeds.Feed("c1"))
            await listener.start("127.0.0.1", 0)
        (address,) = listener.addresses
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        try:
            async with asyncio.timeout(0.4):
                await listener.stop()
        finally:
            writer.close()

    asyncio.run(play())
