"""Front addresses that the directory gives to clients."""

import json
import random
from collections import Counter

import pytest

from cardamomrun_backends.directory import Directory
from cardamomrun_base.clock import ManualClock
from cardamomrun_base.model import MemberPhase

from .builders import DOMAINS, FakeFleet, member, members, settings


def query_directory(listed_members, query=None, seed=1):
    directory = Directory(
        settings(),
        ManualClock(),
        FakeFleet(members=listed_members),
        random.Random(seed),
    )
    status, body = directory.answer(query or {})
    return status, json.loads(body)


def test_clients_are_spread_over_instances_and_domains():
    # Guards against giving most clients the same instance or failure domain.
    listed_members = members(40) + [member(f"more-{i}", "vernon-a") for i in range(8)]
    domains = {m.front_address: m.failure_domain for m in listed_members}
    directory = Directory(
        settings(), ManualClock(), FakeFleet(members=listed_members), random.Random(1)
    )
    uses: Counter[str] = Counter()
    first: Counter[str] = Counter()
    for _ in range(6_000):
        addresses = json.loads(directory.answer({})[1])["addresses"]
        assert len(set(addresses)) == 4
        assert len({domains[address] for address in addresses}) >= 3
        uses.update(addresses)
        first[addresses[0]] += 1
    assert min(uses.values()) > 0.75 * max(uses.values())
    assert min(first.values()) > 0.5 * max(first.values())


@pytest.mark.parametrize("domain", DOMAINS)
def test_local_address_comes_first(domain):
    # Guards against remote requests of clients that name their failure domain.
    status, content = query_directory(members(40), {"failure_domain": domain})
    index = int(content["addresses"][0].rpartition("-")[2])
    assert (status, DOMAINS[index % 4]) == (200, domain)


def test_only_serving_entry_instances_are_named():
    # Guards against addresses of instances that accept no requests.
    listed_members = [
        member("a"),
        member("b", phase=MemberPhase.LEAVING),
        member("c", phase=MemberPhase.STARTING),
        member("d", roles=("control",)),
    ]
    status, content = query_directory(listed_members, {"failure_domain": "unknown"})
    expected = {"addresses": ["127.0.0.1:a"], "ttl_ms": 5000, "may_be_behind": False}
    assert (status, content) == (200, expected)
    status, content = query_directory(listed_members[1:])
    assert status == 503 and content["remedy"]
