"""Guards against metrics that are not served at the address of the settings."""

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


def run_node(folder, port, while_running):
    """Run both roles in one process; return the modules that it imported.

    Parameters
    ----------
    folder
        Folder for the settings file and the data.
    port
        Port of the metrics; 0 for any free one.
    while_running
        Function that is called when the process serves its metrics.
    """
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
            assert any("serving metrics" in line for line in process.stderr)
            while_running()
            process.send_signal(signal.SIGTERM)
            return set(process.stdout.read().split())
        finally:
            process.kill()


def test_one_address_has_the_metrics_of_both_roles(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as sock:
        port = sock.getsockname()[1]
    pages = []

    def fetch_page():
        with urllib.request.urlopen(f"http://127.0.0.1:{port}/metrics") as response:
            assert response.headers["Content-Type"] == expositions.CONTENT_TYPE
            pages.append(response.read().decode())

    modules = run_node(tmp_path, port, fetch_page)
    names = {line.split()[2] for line in pages[0].splitlines() if "# TYPE" in line}
    assert {"coltsfootchute_control_leader", "coltsfootchute_stale"} <= names
    assert "prometheus_client" in modules


def test_prometheus_client_is_not_loaded_before_metrics_are_fetched(tmp_path):
    """The library would use some megabytes of memory in each process."""
    modules = run_node(tmp_path, 0, lambda: None)
    assert "coltsfootchute.entry.daemons" in modules
    assert "prometheus_client" not in modules


@pytest.mark.parametrize("is_in_use", [False, True])
def test_a_metrics_address_in_use_does_not_prevent_a_start(is_in_use):
    """A role can work without metrics, so it must start nevertheless."""

    async def scenario():
        with socket.create_server(("127.0.0.1", 0)) as sock:
            port = sock.getsockname()[1] if is_in_use else 0
            listener = expositions.Listener(f"127.0.0.1:{port}")
            await listener.start([lambda: b"a 1\n", lambda: b"b 2\n"])
            try:
                if is_in_use:
                    assert listener.addresses == []
                    return
                (address,) = listener.addresses
                assert (await fetch(address)).endswith(b"a 1\nb 2\n")
            finally:
                await listener.stop()

    asyncio.run(scenario())


def test_without_an_address_there_is_no_listener():
    async def scenario():
        listener = expositions.Listener(None)
        await listener.start([lambda: b""])
        assert listener.addresses == []
        await listener.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("role", ["process", "control"])
def test_an_incomplete_request_body_does_not_delay_a_stop(role):
    async def scenario():
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

    asyncio.run(scenario())
