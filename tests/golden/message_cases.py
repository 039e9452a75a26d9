"""Wrong settings and inventories, and every message that the program gives for them.

Most go through the command line, whose output is what operators read: file, line, key and what to write.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from lockspoke.balancing.settings_reader import SettingsError
from lockspoke.cli.main import cli
from lockspoke.lifecycle.config import ConfigError
from lockspoke.lifecycle.config_file import read_config
from lockspoke.simulator.decoder import decode_settings

from .support import write_tree

SECOND = 1_000_000_000
SETTINGS: dict[str, Any] = {
    "contract": {"coldShare": 0.13, "warmUp": 24 * SECOND, "fallMultiple": 3.0, "fall": SECOND},
    "limits": {"attemptsCap": 3, "mayDuplicate": True},
    "profiles": [
        {"name": "docs", "effect": "free", "deadline": 4 * SECOND},
        {"name": "bulk", "effect": "guarded", "dedupScope": "zone", "window": SECOND},
    ],
    "tenants": [{"name": "a", "share": 0.5}],
    "zones": ["lis-1", "lis-2"],
}
GATEWAY: dict[str, Any] = {
    "name": "gw1",
    "listen": "127.0.0.1:5000",
    "discovery": "127.0.0.1:5001",
    "seed": "2a",
    "limits": {"sockets": 512, "memory_mb": 192},
    "settings": SETTINGS,
}
TARGET: dict[str, Any] = {"uid": "w1", "state": "up", "endpoint": "10.1.0.1:8000", "az": "lis-1"}
KNOWN: dict[str, Any] = {"rev": 3, "all": True, "targets": [TARGET]}
MISSING = object()
Change = tuple[str, Any]

# By the path of a key, a value that is wrong there; MISSING takes the key out.
SETTINGS_CHANGES: list[Change] = [
    ("profiles", MISSING),
    ("profiles", []),
    ("profiles", 5),
    ("profiles", ["docs"]),
    ("profiles.0.effect", MISSING),
    ("profiles.0.effect", "often"),
    ("profiles.1.dedupScope", MISSING),
    ("profiles.1.dedupScope", "town"),
    ("profiles.1.window", MISSING),
    ("profiles.1.window", -1),
    ("profiles.0.aim", "fast"),
    ("limits", MISSING),
    ("limits.attemptsCap", MISSING),
    ("limits.attemptsCap", 0),
    ("limits.attemptsCap", True),
    ("limits.mayDuplicate", MISSING),
    ("limits.mayDuplicate", 1),
    ("contract", []),
    ("contract.coldShare", MISSING),
    ("contract.coldShare", 1.5),
    ("contract.warmUp", MISSING),
    ("contract.warmUp", "long"),
    ("contract.fallMultiple", MISSING),
    ("contract.fallMultiple", -3),
    ("contract.fall", MISSING),
    ("contract.fall", 0),
    ("contract.askEvery", 0),
    ("discovery", "subscribe"),  # then contract.askEvery is needed
    ("tenants", {}),
    ("tenants", ["a"]),
    ("tenants.0.share", "half"),
    ("tenants.0.share", -0.5),
    ("zone", "lis-1"),
    ("peersTotal", 0),
    ("index", -1),
    ("prices", {"crossZone": "dear"}),
    ("familyInfo", {"aimUsPer1000PromptTokens": 5}),
    ("familyInfo", {"aimUsPer1000PromptTokens": ["x"]}),
]
GATEWAY_CHANGES: list[Change] = [
    ("seed", "xyz"),
    ("seed", [1]),
    ("listen", "nowhere"),
    ("listen", "127.0.0.1:99999"),
    ("discovery", "127.0.0.1"),
    ("discovery", "127.0.0.1:0"),
    ("operator", ":80"),
    ("limits.sockets", "many"),
    ("limits.sockets", 0),
    ("limits.memory_mb", True),
    ("limits.memory_mb", 2**70),
    ("settings", MISSING),
    ("settings", []),
    ("settings.zones", "lis-1"),
    ("settings.zones", [1]),
    ("settings.loadInfo", {"fields": {"util": 1}}),
    ("settings.limits.connectTimeout", 0),
    ("settings.limits.keepalive", -1),
    ("settings.limits.keepalive", "long"),
    ("settings.profiles.0.deadline", 0),
    ("settings.profiles", 5),
    ("settings.contract.warmUp", MISSING),
    ("known", []),
    ("known", {**KNOWN, "rev": True}),
    ("known", {**KNOWN, "rev": -1}),
    ("known", {**KNOWN, "all": 1}),
    ("known", {**KNOWN, "targets": {}}),
    ("known", {**KNOWN, "targets": ["w1"]}),
    ("known.targets.0", {**TARGET, "uid": ""}),
    ("known.targets.0", {**TARGET, "state": "well"}),
    ("known.targets.0", {**TARGET, "state": "ready"}),
    ("known.targets.0", {**TARGET, "endpoint": "x"}),
    ("known.targets.0", {"uid": "w1", "state": "up"}),
    ("known.targets.0", {**TARGET, "weight": -1}),
    ("known.targets.0", {**TARGET, "weight": "x"}),
    ("known.targets.0", {**TARGET, "az": 5}),
    ("known.targets.0", {**TARGET, "model": []}),
    ("name", "gw2"),  # nothing is wrong
]
RAW_GATEWAYS = [b"", b"{", b"[]", b"\xff\xfe", b"null"]
ENVIRONMENTS: list[dict[str, str]] = [
    {},
    {"NODE_CONFIG": "nowhere.json"},
    {"NODE_CONFIG": "."},
    {"NODE_CONFIG": "good.json", "NODE_DISCOVERY": "nowhere"},
    {"NODE_CONFIG": "good.json", "NODE_LISTEN": "80"},
    {"NODE_CONFIG": "good.json", "NODE_OPERATOR": "127.0.0.1:x"},
]

ADDRESS = {
    "service": '"127.0.0.1:5090"',
    "members": '{ gw1 = "127.0.0.1:7001", gw2 = "127.0.0.1:7002", gw3 = "127.0.0.1:7003" }',
    "keys": '["good.key"]',
}
# The section [address]: by key, a TOML value that is wrong; an empty one takes the key out.
ADDRESS_CHANGES: list[tuple[str, str]] = [
    ("service", ""),
    ("service", '""'),
    ("service", '"x"'),
    ("service", "5090"),
    ("members", ""),
    ("members", "{}"),
    ("members", '{ gw1 = "x" }'),
    ("members", "{ gw1 = 7001 }"),
    ("members", '["gw1"]'),
    ("members", '{ gw1 = "127.0.0.1:7001", gw2 = "127.0.0.1:7001" }'),
    ("members", '{ gw2 = "127.0.0.1:7002", gw3 = "127.0.0.1:7003" }'),
    ("members", '{ "" = "127.0.0.1:7001" }'),
    ("members", '{ "%s" = "127.0.0.1:7001" }' % ("long" * 50)),
    ("keys", ""),
    ("keys", "[]"),
    ("keys", '"good.key"'),
    ("keys", '["a", "b", "c"]'),
    ("keys", '["nowhere.key"]'),
    ("keys", '["open.key"]'),
    ("keys", '["bad.key"]'),
    ("keys", '["short.key"]'),
    ("keys", '["good.key", "good.key"]'),
    ("name", '"gw9"'),
    ("name", "1"),
    ("listen", '"x"'),
    ("bind", '"127.0.0.1:70000"'),
    ("metrics", '"127.0.0.1"'),
    ("witnesses", '["gw9"]'),
    ("witnesses", '["gw1", "gw2", "gw3"]'),
    ("generation", "0"),
    ("generation", "4294967296"),
    ("generation", "true"),
    ("priority", "256"),
    ("take_back", "-1.0"),
    ("take_back", "nan"),
    ("span", "0"),
    ("span", '"0.4"'),
    ("renew", "0.4"),
    ("answer", "0.2"),
    ("reserve", "-1"),
    ("drift", "0.1"),
    ("settle", "0"),
    ("announce", '"shout"'),
    ("announce", '"command"'),
    ("command", '["ip"]'),
    ("command_limit", "0"),
    ("record", "5"),
    ("record", '"other"'),
    ("record", '"damaged"'),
    ("trace", '"nowhere/trace.log"'),
    ("recrod", '"x"'),
    ("health", "5"),
    ("health", "{ least_workers = -1 }"),
    ("health", "{ loop_lagg = 1.0 }"),
    ("health", "{ failing = 1.5, sockets = 0.0, memory = 2 }"),
    ("health", "{ stand_again = 9000.0 }"),
    ("health", "{ penalty = 0 }"),
    ("health", "{ longest = 0.0, half_life = -1 }"),
]
EDGE_FILES = [
    "",
    "x = 1\n",
    "[addres]\n",
    "[bach]\nx = 1\n",
    "[zzz]\n",
    "batch = 5\n",
    "[[batch]]\n",
    "[batch\n",
    "[batch]\nlisten =\n",
    "[batch]\nlisten = 1\nlisten = 2\n",
    "[batch]\n",
    '# over\n\n[batch]\nlisten = "x"\nstore = "s"\n',
    '[batch]\nlisten = "127.0.0.1:0"\nstore = ""\n',
    '[batch]\nlisten = 5\nstore = ["s"]\n',
    '[batch]\nlisten = "127.0.0.1:0"\nstore = "s"\nconcurency = 1\ntries = 0\nmax_lines = "x"\n',
    '[batch]\nlisten = "127.0.0.1:0"\nstore = "s"\nkind = "other"\n',
    '[batch]\nlisten = "127.0.0.1:0"\nstore = "s"\ntoken_env = "NOT_SET"\n',
    '[batch]\nlisten = "127.0.0.1:0"\nstore = "s"\n"max_file_mb" = -1\nconnections = 1.5\n',
    'batch.listen = "127.0.0.1:0"\nbatch.tries = 0\n',
    "[inventory]\n",
    "[inventory]\npaths = []\n",
    '[inventory]\npaths = [""]\n',
    '[inventory]\npaths = "workers.csv"\n',
    '[inventory]\npaths = ["w.csv"]\npath = "w.csv"\n',
    '[inventory]\npaths = ["w.csv"]\nform = "xml"\nmerge = "first"\nwatch = "never"\n',
    '[inventory]\npaths = ["w.csv"]\nselect = "a:&"\n',
    '[inventory]\npaths = ["w.csv"]\nselect = "~("\n',
    '[inventory]\npaths = ["w.csv"]\nrequire = ["zone", "colour"]\n',
    '[inventory]\npaths = ["w.csv"]\nnames = { farbe = "colour" }\n',
    '[inventory]\npaths = ["w.csv"]\nkinds = { gen-a = 0 }\n',
    '[inventory]\npaths = ["w.csv"]\nkinds = { gen-a = "x" }\n',
    '[inventory]\npaths = ["w.csv"]\nport = 70000\npoll = 0.0\nquiet = 11\nmissing = -1\n',
    '[inventory]\npaths = ["w.csv"]\n[inventory.guard]\nremoved_share = 1.5\nremoved_leest = 3\n',
    '[inventory]\npaths = ["w.csv"]\n[inventory.guard]\nflap_limit = 0.5\nblink = "1s"\nwindow = 1e9\n',
    '[inventory]\npaths = ["w.csv"]\nguard = 3\n',
    '[batch]\ntries = 0\n\n[inventory]\npth = 1\n\n[nothing]\n\n[address]\nspan = "x"\n',
]
BATCH_FILES = [
    "",
    "[batch]\n",
    'listen = "x"\nstore = "s"\n',
    'listen = "127.0.0.1:0"\nstore = ""\n',
    'listen = "127.0.0.1:0"\nstor = "s"\n',
    'listen = "127.0.0.1:0"\nstore = "s"\ntries = 0\nconcurrency = "4"\n',
    'listen = "127.0.0.1:0"\nstore = "s"\nkind = "none"\n',
    'listen = "127.0.0.1:0"\nstore = "s"\ninventory = 5\n',
    'listen = "127.0.0.1:0"\nstore = "s"\n[inventory]\n',
    'listen = "127.0.0.1:0"\nstore = "s"\n[inventory]\npath = ""\n',
    'listen = "127.0.0.1:0"\nstore = "s"\n[inventory]\npath = "w.csv"\nmerge = "x"\n',
    'listen = "127.0.0.1:0"\nstore = "s"\n[inventori]\n',
    "listen = \n",
]

HEADER = "name,host,port,zone,kind,cell,weight,state,labels\n"
INVENTORIES: dict[str, bytes] = {
    "values.csv": (
        HEADER
        + "w1,10.1.0.1,80x1,lis-1,gen-a,0,1,up,\n"
        + "w2,10.1.0.300,8000,lis-1,gen-a,0,1,up,\n"
        + "w3,0.0.0.0,8000,lis-1,gen-a,0,1,up,\n"
        + "w4,host.example,8000,lis-1,gen-a,0,1,up,\n"
        + "w5,10.1.0.5,8000,lis1,gen-x,0,1,up,\n"
        + "w6,10.1.0.6,8000,lis-1,gen-a,-1,0,up,\n"
        + "w7,10.1.0.7,8000,lis-1,gen-a,0,1e3,gone away,\n"
        + "w8,10.1.0.8,8000,lis-1,gen-a,0,1,up,rack;=x;a b=c\n"
        + "w9,{{ ip }},8000,lis-1,gen-a,0,1,up,rack={{ r }}\n"
        + "w 10,10.1.0.10,8000,lis-1,gen-a,0,1,up,\n"
        + ",10.1.0.11,8000,lis-1,gen-a,0,1,up,\n"
        + "w12,10.1.0.12,,lis-1,gen-a,0,1,up,\n"
        + "w13,10.1.0.13,8000\n"
        + "w14,10.1.0.14,8000,lis-1,gen-a,0,1,up,,more\n"
        + "w15,10.1.0.15,8000,lis-1,gen-a,0,1,up,\n"
        + "w15,10.1.0.16,8000,lis-1,gen-a,0,1,up,\n"
        + "w17,10.1.0.17,8000,lis-1,gen-a,0,1,up,\n"
        + "w18,10.1.0.17,8000,lis-1,gen-a,0,1,up,\n"
        + "w[1:,10.1.0.19,8000,lis-1,gen-a,0,1,up,\n"
        + "w[9:1],10.1.0.20,8000,lis-1,gen-a,0,1,up,\n"
        + "w21,$ANSIBLE_VAULT;1.1,8000,lis-1,gen-a,0,1,up,\n"
    ).encode(),
    "endpoint.csv": b"name;endpoint\nw1;10.1.0.1\nw2;2001:db8::1:80\nw3;[2001:db8::1]:x\nw4;:80\n",
    "columns.csv": b"name,host,port,colour,Port\nw1,10.1.0.1,1,red,2\n",
    "noname.csv": b"host,port\n10.1.0.1,8000\n",
    "quote.csv": HEADER.encode() + b'w1,"10.1.0.1,8000\n',
    "badquote.csv": HEADER.encode() + b'w1,"10.1"x,8000\n',
    "empty.csv": b"",
    "long.csv": HEADER.encode() + b"w1," + b"1" * 70_000 + b",8000\n",
    "unknown": b"\x00",
    "comment.csv": b"# nothing\n",
    "utf8.csv": HEADER.encode() + b"w1,10.1.0.1,8000,\xff\n",
    "groups.yaml": b"""all:
  vars: 5
  hosts:
    w1: {host: 10.1.0.1, port: 8000, ansible_group_priority: x}
    w1: {host: 10.1.0.2, port: 8000}
    w[2: {host: 10.1.0.2, port: 8000}
    w3: just text
    w4: {host: [10.1.0.4], port: {a: 1}, weight: [1], labels: [x]}
    w5: {host: 10.1.0.5, port: 8000, zone: !vault x}
  w6: {}
  children:
    a:
      children: {b: {children: {a: {}}}}
      vars: {ansible_group_priority: high}
    kind_gen_a: {hosts: {w7: {host: 10.1.0.7, port: 1}}}
    kind_gen_b: {hosts: {w7: {}, w8: {host: 10.1.0.8, port: 1, kind: gen-a}}}
    lis_1: {hosts: {w9: {host: 10.1.0.9, port: 1}}}
    lis_2: {hosts: {w9: {}}}
""",
    "top.yaml": b"- w1\n",
    "tab.yaml": b"all:\n\thosts:\n",
    "alias.yaml": b"all: *none\n",
    "open.yaml": b"all: {hosts: [\n",
    "key.yaml": b"all:\n  hosts:\n    ? [a, b]\n    : {}\n",
    "empty.yaml": b"",
    "deep.yaml": b"[" * 500 + b"]" * 500,
    "listing.json": b"""{
  "_meta": {"hostvars": {"w1": {"host": "10.1.0.1", "port": 0}, "w2": 5}},
  "all": {"children": ["none"], "hosts": "w1", "nodes": []},
  "one": ["w1", {}],
  "loop": {"children": ["pool"]},
  "pool": {"children": ["loop"]}
}
""",
    "comma.json": b'{"all": ["w1",]}',
    "colon.json": b'{"all" ["w1"]}',
    "close.json": b'{"all": ["w1"}',
    "key.json": b"{all: []}",
    "string.json": b'{"all": ["w1\n"]}',
    "behind.json": b"{} {}",
    "list.json": b"[]",
    "short.json": b'{"all": ',
    "hosts.ini": b"""w1 host=10.1.0.1 port=8000 loose
w2 host="10.1.0.2 port=8000
w3:8000 host=10.1.0.3
w[1:x] host=10.1.0.4 port=1
w5 host=10.1.0.5
[group
w6 host=10.1.0.6 port=1
""",
    "sections.ini": b"""[all:vars]
no equals here
[a:children]
b c
none
[a:things]
w1
[b:children]
a
[nobody:vars]
x=1
""",
    "unknown.xyz": b"what is this\n",
    "vaulted.yaml": b"$ANSIBLE_VAULT;1.1;AES256\n3132\n",
    "two/a.csv": b"name,host,port,zone\nw1,10.1.0.1,8000,lis-1\n",
    "two/b.csv": b"name,host,port,zone\nw1,10.1.0.2,8000,lis-1\nw2,10.1.0.1,8000,lis-2\n",
    "vars/hosts.ini": b"w1 host=10.1.0.1 port=8000\n",
    "vars/host_vars/w1.yaml": b"port: x1\n",
    "vars/host_vars/w9.yaml": b"port: 9\n",
    "vars/group_vars/none.yaml": b"- a\n",
}
SCRIPT = "script.sh"
CHECK = ["--zone", "lis-1", "--zone", "lis-2", "--kind", "gen-a", "--kind", "gen-b"]

Blocks = list[tuple[str, str]]  # what was wrong, and what was said of it


def _changed(raw: Any, path: str, value: Any) -> Any:
    """A deep copy of a JSON value with one key changed."""
    copy = json.loads(json.dumps(raw))
    *steps, last = [int(step) if step.isdigit() else step for step in path.split(".")]
    inner = copy
    for step in steps:
        inner = inner[step]
    if value is MISSING:
        del inner[last]
    else:
        inner[last] = value
    return copy


def _shown(path: str, value: Any) -> str:
    return f"{path} is missing" if value is MISSING else f"{path} = {json.dumps(value)}"


def _command(*arguments: str) -> str:
    runner = CliRunner(env={"NO_COLOR": "1", "FORCE_COLOR": None, "COLUMNS": "200"})
    done = runner.invoke(cli, arguments, standalone_mode=False)
    if done.exception is not None:
        return f"{type(done.exception).__name__}: {done.exception}"
    # The version is that of the installed package, if there is one.
    output = re.sub(r'"semanticVersion": "[^"]*"', '"semanticVersion": "0"', done.output)
    return f"{output}exit {done.return_value}"


def _settings() -> Blocks:
    texts = {
        _shown(path, value): json.dumps(_changed(SETTINGS, path, value)).encode()
        for path, value in SETTINGS_CHANGES
    }
    texts |= {repr(text): text for text in (b"", b"{", b"[]", b"5", b"\xff")}
    return [(name, _settings_message(text)) for name, text in texts.items()]


def _settings_message(text: bytes) -> str:
    try:
        decode_settings(text)
    except SettingsError as error:
        return str(error)
    except (ValueError, TypeError) as error:  # not told apart by a class of its own
        return f"{type(error).__name__}: {error}"
    return "taken"


def _gateway() -> Blocks:
    blocks = []
    for path, value in GATEWAY_CHANGES:
        Path("gateway.json").write_text(json.dumps(_changed(GATEWAY | {"known": KNOWN}, path, value)))
        blocks.append((_shown(path, value), _config_message({"NODE_CONFIG": "gateway.json"})))
    for raw in RAW_GATEWAYS:
        Path("gateway.json").write_bytes(raw)
        blocks.append((repr(raw), _command("config", "check", "--gateway", "gateway.json")))
    blocks += [(json.dumps(environment), _config_message(environment)) for environment in ENVIRONMENTS]
    return blocks


def _config_message(environment: dict[str, str]) -> str:
    try:
        read_config(environment)
    except ConfigError as error:
        return str(error)
    return "taken"


def _edge() -> Blocks:
    blocks = []
    for text in EDGE_FILES:
        Path("edge.toml").write_text(text)
        blocks.append((text, _command("config", "check", "--edge", "edge.toml", "--gateway", "good.json")))
    return [*blocks, ("no file", _command("config", "check", "--edge", "none.toml"))]


def _batch() -> Blocks:
    blocks = []
    for text in BATCH_FILES:
        Path("batch.toml").write_text(text)
        blocks.append((text, _command("config", "check", "--batch", "batch.toml", "--gateway", "good.json")))
    return [*blocks, ("no file", _command("config", "check", "--batch", "none.toml"))]


def _address() -> Blocks:
    blocks = []
    for key, value in [("", ""), *ADDRESS_CHANGES]:
        section = ADDRESS | {key: value}
        text = "[address]\n" + "".join(f"{one} = {given}\n" for one, given in section.items() if given)
        Path("edge.toml").write_text(text)
        message = _command("config", "check", "--edge", "edge.toml", "--gateway", "good.json")
        blocks.append((f"{key} = {value}" if value else f"{key or 'nothing'} is missing", message))
    return blocks


def _inventory() -> Blocks:
    write_tree(Path("inventory"), INVENTORIES)
    script = Path("inventory", SCRIPT)
    script.write_text("#!/bin/sh\n")
    script.chmod(0o755)
    names = sorted({name.split("/")[0] for name in INVENTORIES} | {SCRIPT})
    blocks = []
    for name in [*names, "nowhere.csv"]:
        path = f"inventory/{name}"
        blocks.append((name, _command("inventory", "check", path, *CHECK)))
        blocks.append((f"{name} as JSON", _command("inventory", "check", path, *CHECK, "--json")))
    selected = _command("inventory", "check", "inventory/two/a.csv", *CHECK, "--select", "none")
    return [
        *blocks,
        ("a pattern that selects nothing", selected),
        ("the catalogue of codes", _command("inventory", "codes", "--json")),
        ("as SARIF", _command("inventory", "check", "inventory/two", *CHECK, "--sarif")),
    ]


KINDS: dict[str, Callable[[], Blocks]] = {
    "settings": _settings,
    "gateway": _gateway,
    "edge": _edge,
    "batch": _batch,
    "address": _address,
    "inventory": _inventory,
}


def _surroundings() -> None:
    """Files that the cases name."""
    Path("good.json").write_text(json.dumps(GATEWAY))
    keys = {"good.key": "ab" * 32, "open.key": "cd" * 32, "bad.key": "no key", "short.key": "abcd"}
    for name, text in keys.items():
        Path(name).write_text(text)
        Path(name).chmod(0o644 if name == "open.key" else 0o600)
    records = {"other": '{"name": "gw2", "term": 7, "generation": 1}', "damaged": '{"name": "gw1", '}
    for name, text in records.items():
        Path(name).mkdir(exist_ok=True)
        Path(name, "address.json").write_text(text)


def messages(kind: str) -> str:
    """All messages of one kind, made in the working folder."""
    _surroundings()
    return "".join(f"=== {what.rstrip()}\n{said.rstrip()}\n\n" for what, said in KINDS[kind]())
