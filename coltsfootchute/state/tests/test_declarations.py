"""Size of a declaration in the feed."""

import random

from coltsfootchute import declarations
from coltsfootchute.proto import coltsfootchute_pb2 as pb
from coltsfootchute.state import machines

# What a link of 2.5 Mbit/s transfers in 1 s, a third of the 3 s within which a change
# must reach the entries.
LINK_BYTES = 2_500_000 // 8
ROUTES = 5000


def declaration_of(routes: int, rng: random.Random) -> declarations.Declaration:
    def word() -> str:
        return "".join(rng.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=8))

    services = [declarations.Service(name=word()) for _ in range(4)]
    rows = [
        declarations.Route(
            name=word(),
            host=f"{word()}.example",
            prefix=f"/{word()}/",
            guarantee="repeatable",
            shares=[declarations.Share(service=rng.choice(services).name)],
            timeout_s=5.0,
        )
        for _ in range(routes)
    ]
    return declarations.Declaration(version=1, services=services, routes=rows)


def test_a_declaration_with_thousands_of_routes_fits_a_slow_link():
    """Guards against an accepted change that reaches entries with slow links late."""
    declared = declaration_of(ROUTES, random.Random(7))
    text = declarations.encode(declared)
    assert len(text) > 2 * LINK_BYTES
    body = pb.Declaration(version=1, document=text, submitted=text.encode())
    machine = machines.Machine()
    (change,) = machine.apply(1, pb.Command(time_ms=1, declaration=body)).changes
    assert change.ByteSize() < LINK_BYTES
    packed = change.declaration.packed
    assert declarations.parse(declarations.unpack(packed)) == declared
