"""Tests of check-ins that another writer may have sent, in the same process."""

from __future__ import annotations

import asyncio
import json
from urllib.parse import quote

import pytest
from standins.job_store import MemoryStore

from hyssoprill.coordination.upstream.vm_agent import VmAgent
from hyssoprill.errors import UpstreamUnreachedError
from hyssoprill.transport.http_client import JsonClient
from hyssoprill.transport.http_server import HttpListener
from hyssoprill.transport.metrics import Metrics

GOOD = {
    "service": "service-a",
    "address": "127.0.0.1:8080",
    "state": "ready",
    "capacity": {"cpu": 1000, "mem_mb": 1000, "gpu": 1},
    "labels": ["a", "r1"],
    "seq": 1,
    "born": 1_796_439_500_000,
}
DEEP = json.loads("[" * 400 + "]" * 400)
ODD_FIELDS = [
    {"address": "127.0.0.1:99999"},
    {"address": "127.0.0.1:73616"},
    {"address": "127.0.0.1:0"},
    {"address": "127.0.0.1:-1"},
    {"address": "127.0.0.1:x"},
    {"address": "127.0.0.1"},
    {"address": "127.0.0.1:8080\n"},
    {"address": "vm|1:8080"},
    {"address": "a..b:8080"},
    {"address": "h\u00e9..b:8080"},
    {"address": "a" * 70 + ".example:8080"},
    {"capacity": {"gpu": 10**400}},
    {"capacity": {"gpu": 2**64}},
    {"capacity": {"cpu": -1}},
    {"capacity": DEEP},
    {"seq": 10**400},
    {"seq": -1},
    {"born": 10**18},
    {"born": 10**400},
    {"born": -1},
    {"remaining_ms": 2**64},
    {"remaining_ms": -(10**400)},
    {"labels": [DEEP]},
    {"labels": ["a" * 100_000]},
    {"zone": None},
]
ODD_BODIES = [
    *(json.dumps({**GOOD, **one}).encode() for one in ODD_FIELDS),
    json.dumps({**GOOD, "seq": 0}).replace('"seq": 0', '"seq": 1e400').encode(),
    b'{"service":' + b"[" * 2_000_000,
    b'{"unknown":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    b'{"service":"\xff"}',
]
ODD_IDS = ["i|1", "i\r\nx: y", "\u4e00", "i" * 300, " "]


class FakeUpstream:
    """Upstream port that never answers."""

    async def renew_lease(self, **_fields):
        raise UpstreamUnreachedError("no connection")

    def close(self) -> None:
        """Do nothing."""


def run_scenario(scenario) -> None:
    """Run a coroutine function with an agent and a function that checks in there."""
    from adapter.check_ins import CheckInHandler

    async def main() -> None:
        listener = HttpListener("127.0.0.1", 0)
        client = JsonClient(listener.url)
        async with VmAgent(
            "vm-1",
            "5f" * 32,
            MemoryStore(),
            lambda _check_in: FakeUpstream(),
            Metrics("agent", "vm-1"),
            max_lease_s=6.0,
        ) as agent:
            routes = [(r"/instances/([^/]+)", CheckInHandler, {"agent": agent})]
            listener.serve(routes, body_limit_bytes=4_194_304)

            async def check_in(body, upstream_id="i-1") -> int:
                raw = body if isinstance(body, bytes) else json.dumps(body).encode()
                path = f"/instances/{quote(upstream_id, safe='')}"
                return await put(client, path, raw)

            await scenario(agent, check_in)
            await listener.close()
        client.close()

    asyncio.run(main())


async def put(client: JsonClient, path: str, raw: bytes) -> int:
    """Send bytes as they are and return the status."""
    resp = await client._client.fetch(
        client._base_url + path, method="PUT", body=raw, raise_error=False
    )
    return resp.code


@pytest.mark.parametrize("body", ODD_BODIES, ids=range(len(ODD_BODIES)))
def test_check_in_with_a_value_out_of_range_names_no_upstream(body):
    """The agent's reports ended with an OverflowError, or calls went elsewhere."""

    async def scenario(agent, check_in):
        assert await check_in(body, "i-odd") == 400
        assert await check_in(GOOD) == 200
        assert [key.id for key in agent._sessions] == ["i-1"]

    run_scenario(scenario)


@pytest.mark.parametrize("upstream_id", ODD_IDS)
def test_check_in_under_an_id_that_no_key_can_hold_names_no_upstream(upstream_id):
    """The planner's rounds ended as it parsed the key of the upstream."""

    async def scenario(agent, check_in):
        assert await check_in(GOOD, upstream_id) == 400
        assert await check_in(GOOD) == 200
        assert [key.id for key in agent._sessions] == ["i-1"]

    run_scenario(scenario)


def test_later_start_out_of_range_does_not_end_the_upstream_at_its_address():
    async def scenario(agent, check_in):
        assert await check_in(GOOD) == 200
        assert await check_in({**GOOD, "born": 10**18}, "i-odd") == 400
        assert await check_in({**GOOD, "seq": 2}) == 200
        assert [key.id for key in agent._sessions] == ["i-1"]

    run_scenario(scenario)
