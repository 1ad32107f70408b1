"""Tests of quotas between instances, with a network in memory."""

import asyncio
import random
from dataclasses import replace

import pytest

from cardamomrun_base.clock import ManualClock
from cardamomrun_base.model import MemberPhase
from cardamomrun_base.routing_document import Organisation
from cardamomrun_base.settings import GatewaySettings
from cardamomrun_bench.scripted_server import ScriptedServer, Step, free_port
from cardamomrun_gateway import metrics
from cardamomrun_gateway.fleet_load import FleetLoad
from cardamomrun_gateway.quota_bucket import Admitted, OverQuota
from cardamomrun_gateway.quota_members import QuotaMembers
from cardamomrun_gateway.quotas import (
    ANSWER,
    ASK,
    QUESTION_FORMAT,
    Quotas,
    organisation_key,
)
from cardamomrun_gateway.refusals import RequestFailedError
from cardamomrun_gateway.request_admission import RequestAdmission
from cardamomrun_gateway.routed_request import RoutedRequest
from cardamomrun_gateway.table import RoutingTable

from .builders import (
    FakeFleet,
    Gateway,
    document,
    gateway,
    member,
    no_report,
    relay_message,
    request,
    response,
    route,
    routing_record,
)
from .datagram_network import Network

NAMES = {"e1": 1, "e2": 2, "e3": 3}
CUSTOMER = Organisation("yefi830", (), 0, 10.0, 10.0)


class Instance:
    def __init__(self, network, clock, name):
        self.clock, self.fleet = clock, FakeFleet(name)
        self.load = FleetLoad(clock, self.fleet.store, name)
        self.table = RoutingTable(self.fleet.store)
        self.port = network.port(("127.0.0.1", NAMES[name]))
        self.quotas = Quotas(
            GatewaySettings(),
            clock,
            self.fleet,
            self.load,
            self.table,
            self.port,
            random.Random(1),
        )

    def is_granter(self):
        members = QuotaMembers(self.clock, self.fleet, self.load)
        members.refresh()
        return members.is_granter(organisation_key(CUSTOMER.name))

    def put_document(self, organisation, number=1):
        content = replace(document(number), organisations=(organisation,))
        self.fleet.store.put(routing_record(content))

    async def admit_many(self, count, organisation=CUSTOMER):
        requests = [self.quotas.admit(organisation) for _ in range(count)]
        results = await asyncio.gather(*requests)
        return sum(isinstance(result, Admitted) for result in results)


class Fleet:
    """Three entry instances that have known one another for a while."""

    def __init__(self):
        self.network, self.clock = Network(), ManualClock(100_000.0)
        self.all = [Instance(self.network, self.clock, name) for name in NAMES]
        for instance in self.all:
            instance.fleet.listed = [member(name, port=p) for name, p in NAMES.items()]
            instance.put_document(CUSTOMER)
        self.pass_ms(100)
        (self.granter,) = [i for i in self.all if i.is_granter()]
        self.others = [i for i in self.all if i is not self.granter]
        self.pass_ms(5_000)

    def question(self, name, debt_count=0):
        return QUESTION_FORMAT.pack(1, organisation_key(name), 1, debt_count)

    def pass_ms(self, duration_ms, silent=()):
        """Let time pass, in which instances run and hear of all but `silent` ones."""
        for _ in range(int(duration_ms / 100)):
            self.clock.advance_ms(100)
            for instance in self.all:
                heard = [(name, 1) for name in NAMES if name not in silent]
                sequence = int(self.clock.now_ms())
                message = relay_message(sequence=sequence, included=heard)
                instance.load.merge(message, no_report)
                instance.quotas.tick()


def test_all_instances_share_the_tokens_of_one_token_server():
    async def check():
        fleet = Fleet()
        admitted = [await instance.admit_many(20) for instance in fleet.all]
        assert sum(admitted) == 20
        fleet.pass_ms(1_000)
        admitted = [await instance.admit_many(20) for instance in fleet.all]
        assert sum(admitted) == 10

    asyncio.run(check())


def test_requests_at_one_moment_share_one_question_of_few_bytes():
    async def check():
        fleet = Fleet()
        assert await fleet.others[0].admit_many(8) == 8
        assert fleet.network.sent_count == 2
        assert len(ASK) + QUESTION_FORMAT.size <= 20

    asyncio.run(check())


def test_a_cancelled_request_does_not_take_the_lease_of_the_others_with_it():
    async def check():
        fleet = Fleet()
        fleet.network.is_cut = True
        first = asyncio.create_task(fleet.others[0].quotas.admit(CUSTOMER))
        await asyncio.sleep(0.01)
        second = asyncio.create_task(fleet.others[0].quotas.admit(CUSTOMER))
        await asyncio.sleep(0.01)
        fleet.network.is_cut = False
        first.cancel()
        assert await second == Admitted()

    asyncio.run(check())


def test_without_an_answer_the_local_share_counts_and_is_deducted_later():
    async def check():
        fleet = Fleet()
        other = fleet.others[0]
        fleet.network.is_cut = True
        # 3 instances share 20 tokens.
        assert await other.admit_many(30) in (6, 7)
        fleet.network.is_cut = False
        fleet.pass_ms(300)
        admitted = await other.admit_many(30)
        assert admitted in (13, 14)

    asyncio.run(check())


def test_a_deputy_grants_a_few_tokens_until_it_replaces_the_token_server():
    # Local shares refuse most requests of small organisations.
    async def check():
        fleet = Fleet()
        small = replace(CUSTOMER, requests_per_s=1.0, burst_count=1.0)
        for instance in fleet.all:
            instance.put_document(small, number=2)
        fleet.network.lost_addresses = {fleet.granter.port.address}
        silent = [fleet.granter.fleet.instance_id]
        results = [await other.quotas.admit(small) for other in fleet.others * 2]
        assert results == [Admitted()] * 4
        fleet.pass_ms(300, silent)
        leases = [await fleet.others[i % 2].quotas.admit(small) for i in range(12)]
        assert leases.count(Admitted()) == 1
        # As the token server it doesn't start with tokens once more.
        fleet.pass_ms(1_200, silent)
        leases = [await fleet.others[i % 2].quotas.admit(small) for i in range(12)]
        assert leases.count(Admitted()) <= 1

    asyncio.run(check())


def test_an_organisation_that_the_token_server_does_not_know_yet_gets_tokens():
    async def check():
        fleet = Fleet()
        added = replace(CUSTOMER, requests_per_s=1.0, burst_count=1.0)
        fleet.granter.put_document(replace(added, name="other"), number=2)
        assert await fleet.others[0].quotas.admit(added) == Admitted()

    asyncio.run(check())


def test_a_silent_token_server_is_replaced_by_one_that_starts_small():
    async def check():
        fleet = Fleet()
        silent = [fleet.granter.fleet.instance_id]
        fleet.pass_ms(1_400, silent)
        admitted = [await instance.admit_many(10) for instance in fleet.others]
        # 2 of 3 instances are reached: two thirds of 5, and the refill since then.
        assert 3 <= sum(admitted) <= 7

    asyncio.run(check())


def test_a_leaving_token_server_grants_a_few_more_tokens():
    async def check():
        fleet = Fleet()
        name = fleet.granter.fleet.instance_id
        assert await fleet.others[0].admit_many(1) == 1
        leaving = member(name, port=NAMES[name], phase=MemberPhase.LEAVING)
        listed = fleet.granter.fleet.listed
        fleet.granter.fleet.listed = [
            leaving if body.instance_id == name else body for body in listed
        ]
        fleet.pass_ms(300)
        # The others don't know yet that it leaves.
        assert await fleet.others[0].admit_many(10) == 5

    asyncio.run(check())


def test_a_lower_limit_is_in_force_with_the_document_of_the_token_server():
    async def check():
        fleet = Fleet()
        lower = replace(CUSTOMER, requests_per_s=1.0, burst_count=1.0)
        assert await fleet.others[0].admit_many(1) == 1
        fleet.granter.put_document(lower, number=2)
        assert await fleet.others[0].admit_many(30) == 11
        lifted = replace(CUSTOMER, requests_per_s=0.0)
        fleet.granter.put_document(lifted, number=3)
        fleet.pass_ms(2_100)
        assert await fleet.others[0].admit_many(30) == 30
        assert await fleet.others[0].admit_many(100, lifted) == 100

    asyncio.run(check())


def test_questions_that_arrived_during_a_pause_are_dropped():
    fleet = Fleet()
    handler = fleet.network.handlers[fleet.granter.port.address, ASK]
    sender = fleet.others[0].port.address
    for gap_ms, answer_count in ((3_500, 0), (10, 0), (20, 1)):
        sent_count = fleet.network.sent_count
        fleet.clock.advance_ms(gap_ms)
        handler(fleet.question(CUSTOMER.name), sender)
        assert fleet.network.sent_count == sent_count + answer_count


def test_only_requests_of_private_routes_from_clients_take_tokens():
    async def check():
        fleet = Fleet()
        quotas = fleet.granter.quotas
        routed = RoutedRequest(None, route(), "rota-desk", 1, 0.0, 0.0, CUSTOMER)
        for _ in range(20):
            await quotas.check(routed, is_relayed=False)
        with pytest.raises(RequestFailedError) as failure:
            await quotas.check(routed, is_relayed=False)
        assert failure.value.kind == "over-quota"
        assert failure.value.outcome.status == 429
        assert failure.value.outcome.retry_after_s > 0
        await quotas.check(routed, is_relayed=True)
        public = replace(routed, route=route(is_public=True))
        await quotas.check(public, is_relayed=False)
        await quotas.check(replace(routed, organisation=None), is_relayed=False)

    asyncio.run(check())


def test_a_request_over_the_quota_gets_429_and_reaches_no_server(monkeypatch):
    limited = replace(CUSTOMER, requests_per_s=0.01, burst_count=0.0)
    admit = RequestAdmission.admit

    def admit_for_organisation(*args, **kwargs):
        return replace(admit(*args, **kwargs), organisation=limited)

    async def check():
        server = ScriptedServer([Step(response())] * 20)
        async with gateway(server) as running:
            running.fleet.listed = [member("e1")]
            answers = [await running.call() for _ in range(12)]
            served_count = sum(answer.status == 200 for answer in answers)
            # A new token server starts with 5 tokens.
            assert served_count == len(server.heads) == 5
            assert {answer.status for answer in answers[5:]} == {429}
            assert float(answers[-1].headers["retry-after"]) > 0

    monkeypatch.setattr(RequestAdmission, "admit", admit_for_organisation)
    asyncio.run(check())


async def run_limited(servers, check):
    """Run `check` with a gateway whose only organisation has 5 tokens."""
    limited = replace(CUSTOMER, keys=("k1",), requests_per_s=0.01, burst_count=0.0)
    async with gateway(*servers) as running:
        content = replace(running.table.document, number=2, organisations=(limited,))
        running.store.put(routing_record(content))
        running.fleet.listed = [member("e1")]
        await check(running)


def test_requests_that_no_server_received_do_not_use_up_the_quota():
    async def check(running):
        key = {"authorization": "Bearer k1"}
        answers = [await running.call(**key) for _ in range(12)]
        assert {answer.status for answer in answers} == {503}
        # Too large for the document, which refuses it before a token is taken.
        size = running.table.document.limits.body_bytes + 1
        answers = [
            await running.call("POST", content_length=str(size), **key)
            for _ in range(12)
        ]
        assert {answer.status for answer in answers} == {413}

    asyncio.run(run_limited([], check))


def test_a_request_takes_its_token_once_its_body_is_there():
    # Tokens of requests whose bodies are slow would be used in a later window.
    async def check(running):
        granted = metrics.QUOTA_TOKENS._value.get
        before = granted()
        reader, writer = await running.connect()
        data = request("POST", body=b"12345678", authorization="Bearer k1")
        writer.write(data[:-1])
        await asyncio.sleep(0.2)
        assert granted() == before
        writer.write(data[-1:])
        await reader.read()
        writer.close()
        assert granted() == before + 1

    server = ScriptedServer([Step(response())])
    asyncio.run(run_limited([server], check))


def test_a_token_that_is_not_used_goes_back_to_the_token_server():
    async def check():
        fleet = Fleet()
        for instance in fleet.all:
            token = await instance.quotas.admit(CUSTOMER)
            instance.quotas.give_back(CUSTOMER, token)
        assert await fleet.granter.admit_many(30) == 20

    asyncio.run(check())


def test_a_token_does_not_go_back_after_its_lease():
    # It would be used in a window later than the one in which it was granted.
    async def check():
        fleet = Fleet()
        other = fleet.others[0]
        token = await other.quotas.admit(CUSTOMER)
        fleet.pass_ms(300)
        sent_count = fleet.network.sent_count
        other.quotas.give_back(CUSTOMER, token)
        assert fleet.network.sent_count == sent_count

    asyncio.run(check())


def test_two_instances_share_a_quota_over_datagrams():
    limited = replace(CUSTOMER, requests_per_s=0.01, burst_count=0.0)

    async def check():
        ports = {"e1": free_port(), "e2": free_port()}
        content = replace(document(), organisations=(limited,))
        both = [Gateway(content, [], name, peer_port=ports[name]) for name in ports]
        for running in both:
            running.fleet.listed = [member(n, port=port) for n, port in ports.items()]
            heard = relay_message(included=[(name, 1) for name in ports])
            running.load.merge(heard, no_report)
            await running.reports.start(1)
        granted_before = metrics.QUOTA_TOKENS._value.get()
        admitted = []
        try:
            for each in both * 6:
                result = await each.quotas.admit(limited)
                if isinstance(result, Admitted):
                    admitted.append((each, result.is_local))
        finally:
            for running in both:
                running.reports.stop()
        # A new token server starts with 5 tokens. On a busy machine an answer may be
        # late; its tokens are lost, and the other instance uses its local share.
        assert metrics.QUOTA_TOKENS._value.get() == granted_before + 5
        assert sum(not is_local for _, is_local in admitted) <= 5
        assert {each for each, _ in admitted} == {*both}

    asyncio.run(check())


def test_an_organisation_is_over_its_quota_until_nothing_is_denied():
    async def check():
        fleet = Fleet()
        gauge = metrics.QUOTA_ORGANISATIONS_OVER
        before = gauge._value.get()
        assert isinstance((await fleet.granter.quotas.admit(CUSTOMER)), Admitted)
        assert await fleet.granter.admit_many(40) == 19
        assert isinstance((await fleet.granter.quotas.admit(CUSTOMER)), OverQuota)
        assert gauge._value.get() == before + 1
        fleet.pass_ms(5_200)
        assert gauge._value.get() == before

    asyncio.run(check())


@pytest.mark.parametrize("wanted_count", [0, 255])
def test_a_question_for_an_impossible_number_of_tokens_gets_an_answer(wanted_count):
    fleet = Fleet()
    handler = fleet.network.handlers[fleet.granter.port.address, ASK]
    key = organisation_key(CUSTOMER.name)
    question = QUESTION_FORMAT.pack(1, key, wanted_count, 0)
    handler(question, fleet.others[0].port.address)
    assert fleet.network.sent_count == 1


@pytest.mark.parametrize("data", [b"", b"\xff" * 11, b"\x00" * 13])
def test_malformed_datagrams_are_dropped(data):
    fleet = Fleet()
    for kind in (ASK, ANSWER):
        handler = fleet.network.handlers[("127.0.0.1", 1), kind]
        with pytest.raises(ValueError):
            handler(data, ("127.0.0.1", 2))
