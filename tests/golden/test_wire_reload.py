"""What the gateway says of a file that it can't take up on SIGHUP, and of the next good one."""

from __future__ import annotations

import asyncio
import json
import tempfile
from pathlib import Path
from typing import Any

from .gateway import UP, Gateway, RawReplica, exchange, until
from .log_names import field_now
from .transcripts import compare

BAD_FILES = {
    "no JSON": "{",
    "no object": "[]",
    "settings without profiles": '{"settings": {}}',
    "profiles of another type": '{"settings": {"profiles": 5}}',
    "sockets of another type": '{"limits": {"sockets": "x"}}',
}
BAD_VALUES: dict[str, dict[str, Any]] = {
    "memory below 1": {"limits": {"memory_mb": 0}},
    "memory of true": {"limits": {"memory_mb": True}},
    "a discovery without a port": {"discovery": "nowhere"},
    "an operator's address without a port": {"operator": "nowhere:x"},
    "a bad seed": {"seed": "xyz"},
    "known that is no object": {"known": 5},
    "known with a bad entry": {"known": {"rev": 1, "all": True, "targets": [{"uid": 5}]}},
    "known with a bad endpoint": {
        "known": {"rev": 1, "all": True, "targets": [{"uid": "s", "endpoint": "x"}]}
    },
}
BAD_SETTINGS: dict[str, Any] = {
    "zones of another type": {"zones": "lis-1"},
    "a bad keepalive": {"limits": {"attemptsCap": 3, "mayDuplicate": False, "keepalive": -1}},
    "no attemptsCap": {"limits": {"mayDuplicate": False}},
    "an unknown effect": {"profiles": [{"name": "docs", "effect": "odd"}]},
    "a profile that is no object": {"profiles": [5]},
    "coldShare past 1": {"contract": {"coldShare": 1.5}},
    "an unknown discovery": {"discovery": "sometimes"},
}
GOOD_EDGE = '[batch]\nlisten = "127.0.0.1:0"\nstore = "STORE"\n'
BAD_EDGES = {
    "no TOML": "[batch",
    "an unknown section": GOOD_EDGE + "[bach]\n",
    "an unknown key": GOOD_EDGE + "concurency = 2\n",
    "a key of another type": GOOD_EDGE + 'concurrency = "x"\n',
    "a count of 0": GOOD_EDGE + "concurrency = 0\n",
    "a missing key": '[batch]\nlisten = "127.0.0.1:0"\n',
    "an unknown kind": GOOD_EDGE + 'kind = "odd"\n',
    "a listen without a port": '[batch]\nlisten = "here"\nstore = "STORE"\n',
    "another listen": '[batch]\nlisten = "127.0.0.1:1"\nstore = "STORE"\n',
    "another store": '[batch]\nlisten = "127.0.0.1:0"\nstore = "other"\n',
    "another token_env": GOOD_EDGE + 'token_env = "X"\n',
    "a section that came": GOOD_EDGE + '[inventory]\npaths = ["hosts.csv"]\n',
    "a section that went": "",
    "two faults": GOOD_EDGE + "tries = 0\nspeed = 1\n",
}


async def refused() -> dict[str, str]:
    got: dict[str, str] = {}
    with tempfile.TemporaryDirectory() as scratch:
        edge = Path(scratch, "edge.toml")
        edge.write_text(GOOD_EDGE.replace("STORE", f"{scratch}/store"))
        async with RawReplica() as replica, Gateway(replica, options=["--edge", str(edge)]) as gateway:
            await gateway.ready()
            good = json.dumps(gateway.config)

            async def reason(case: str) -> None:
                await until(lambda: gateway.log("reload_refused") or gateway.log("reloaded"))
                line = gateway.log("reload_refused") or gateway.log("reloaded")
                assert line is not None
                text = line.get(field_now("reason"), "<taken up>")
                gateway.logs.remove(line)
                text = text.replace(str(gateway.path), "<config>").replace(str(edge), "<edge>")
                got[case] = text.replace(f"{scratch}/store", "<store>")

            for case, raw in BAD_FILES.items():
                gateway.reload(raw)
                await reason(case)
            for case, changes in BAD_VALUES.items():
                gateway.reload(json.dumps(gateway.config | changes))
                await reason(case)
            for case, changes in BAD_SETTINGS.items():
                settings = gateway.config["settings"] | changes
                gateway.reload(json.dumps(gateway.config | {"settings": settings}))
                await reason(case)
            for case, text in BAD_EDGES.items():
                edge.write_text(text.replace("STORE", f"{scratch}/store"))
                gateway.reload(good)
                await reason(f"edge: {case}")
            edge.write_text((GOOD_EDGE + "concurrency = 2\n").replace("STORE", f"{scratch}/store"))
            gateway.reload(good)
            await until(lambda: gateway.log("reloaded", discovery_moved=False))
            assert (await exchange(gateway.port, UP))[0].startswith(b"HTTP/1.1 200 ")
    return got


def test_the_reasons_of_refused_reloads() -> None:
    compare("reload_refused", asyncio.run(refused()))
