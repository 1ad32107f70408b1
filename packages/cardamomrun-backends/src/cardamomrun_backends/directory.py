"""The directory, which gives clients the front addresses of entry instances."""

import json
import random

from cardamomrun_backends.selection import quotas
from cardamomrun_base.clock import Clock
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.model import MemberBody, MemberPhase
from cardamomrun_base.settings import NodeSettings, Role

__all__ = ["Directory"]

STATUS_OK = 200
STATUS_UNAVAILABLE = 503


class Directory:
    """Answers clients with the front addresses of a few serving entry instances.

    Each instance is returned to the same share of clients: the number of addresses per
    failure domain is proportional to the number of its instances, rounded at random.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        fleet: Fleet,
        randomness: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._fleet = fleet
        self._random = randomness or random.Random()

    def answer(self, query: dict[str, str]) -> tuple[int, bytes]:
        """Return status and JSON body; 503 while no instance serves.

        `query` may name the client's `failure_domain`, whose addresses come first.
        """
        members = [
            member for member in self._fleet.members() if _is_serving_entry(member)
        ]
        if not members:
            return STATUS_UNAVAILABLE, _unavailable_body()
        chosen = self._choose(members, query.get("failure_domain"))
        content = {
            "addresses": [member.front_address for member in chosen],
            "ttl_ms": self._settings.directory_ttl_ms,
            "may_be_behind": self._fleet.may_be_behind(),
        }
        return STATUS_OK, json.dumps(content).encode()

    def _choose(
        self, members: list[MemberBody], client_domain: str | None
    ) -> list[MemberBody]:
        by_domain: dict[str, list[MemberBody]] = {}
        for member in members:
            by_domain.setdefault(member.failure_domain, []).append(member)
        domains = list(by_domain)
        self._random.shuffle(domains)
        sizes = [len(by_domain[domain]) for domain in domains]
        count = min(self._settings.directory_count, len(members))
        numbers = quotas(sizes, count, self._random.random())
        chosen: list[MemberBody] = []
        for domain, number in zip(domains, numbers, strict=True):
            chosen += self._random.sample(by_domain[domain], number)
        self._random.shuffle(chosen)
        if client_domain in by_domain:
            chosen = self._put_local_first(chosen, by_domain[client_domain], count)
        return chosen

    def _put_local_first(
        self, chosen: list[MemberBody], local: list[MemberBody], count: int
    ) -> list[MemberBody]:
        domain = local[0].failure_domain
        chosen.sort(key=lambda member: member.failure_domain != domain)
        if chosen[0].failure_domain != domain:
            chosen.insert(0, self._random.choice(local))
        return chosen[:count]


def _is_serving_entry(member: MemberBody) -> bool:
    return member.phase is MemberPhase.SERVING and Role.ENTRY in member.roles


def _unavailable_body() -> bytes:
    content = {
        "error": "unavailable",
        "message": "No entry instance serves at this time.",
        "remedy": "ask again after a second, or ask another instance",
    }
    return json.dumps(content).encode()
