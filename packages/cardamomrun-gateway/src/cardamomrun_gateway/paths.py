"""Tells an instance that lost its paths to servers from servers that fail."""

import asyncio
import random

from cardamomrun_base.clock import Clock
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.model import DEFAULT_LINK_MBPS, MemberBody, MemberPhase
from cardamomrun_base.settings import Role
from cardamomrun_gateway import metrics
from cardamomrun_gateway.link_queue import LinkQueue
from cardamomrun_requests.upstream import ConnectError

__all__ = ["ConnectFailures", "OwnPaths", "PeerPaths"]

# After failed connections to this many servers, with no response from any server in
# between, the paths of the instance are checked.
SUSPICIOUS_SERVER_COUNT = 3
# Failures further apart are not taken together.
FAILURES_MS = 3_000.0
# A check connects to this many servers, of all services since one may be down as a whole.
# The paths are there if one of them is reached.
CHECKED_SERVER_COUNT = 4
CHECK_INTERVAL_MS = 500.0
CONNECT_TIMEOUT_MS = 200.0
# How long an instance that has lost its paths is not asked to serve for another one.
PEER_LOST_MS = 2_000.0
# After this many instances of the own failure domain others are asked: all of a domain
# may have lost their paths.
LOCAL_ASKED_COUNT = 2

_log = ComponentLog("paths")


class ConnectFailures:
    """Failed connections of one instance to different servers, since its last response.

    A server that fails is one among others that respond; once the next server can't be
    reached either, the instance is the more likely cause.
    """

    def __init__(self) -> None:
        self._failed_ms: dict[int, float] = {}

    def add(self, server_key: int, at_ms: float) -> None:
        """Add a refused or unanswered connection to a server."""
        for key, failed_ms in list(self._failed_ms.items()):
            if at_ms - failed_ms > FAILURES_MS:
                del self._failed_ms[key]
        self._failed_ms.setdefault(server_key, at_ms)

    def add_response(self, started_ms: float) -> None:
        """Forget failures from before an attempt that got a response."""
        for key, failed_ms in list(self._failed_ms.items()):
            if failed_ms <= started_ms:
                del self._failed_ms[key]

    def clear(self) -> None:
        """Forget all failures."""
        self._failed_ms.clear()

    @property
    def server_keys(self) -> list[int]:
        """The keys of the servers, in the order of the failures."""
        return list(self._failed_ms)

    def __len__(self) -> int:
        return len(self._failed_ms)


class OwnPaths:
    """Whether this instance can reach backend servers at all."""

    def __init__(
        self,
        clock: Clock,
        link: LinkQueue | None = None,
        randomness: random.Random | None = None,
    ) -> None:
        self._clock = clock
        self._link = link or LinkQueue(clock, DEFAULT_LINK_MBPS)
        self._random = randomness or random.Random()
        self._failures = ConnectFailures()
        self._suspected = asyncio.Event()
        self.are_lost = False

    def record_failure(self, server_key: int, known_count: int) -> None:
        """Record a failed connection; `known_count` servers are known in all."""
        self._failures.add(server_key, self._clock.now_ms())
        limit = min(SUSPICIOUS_SERVER_COUNT, known_count)
        if known_count > 1 and len(self._failures) >= limit:
            self._suspected.set()

    def record_response(self, started_ms: float) -> None:
        """Record that an attempt got a response."""
        self._failures.add_response(started_ms)

    @property
    def is_suspected(self) -> bool:
        """True if failures call for a check that has not ended yet."""
        return self._suspected.is_set()

    async def wait_check_due(self) -> None:
        """Wait until the paths are suspected, or have been lost for the interval."""
        if not self.are_lost:
            await self._suspected.wait()
        else:
            await self._clock.sleep_ms(CHECK_INTERVAL_MS)

    async def check(self, addresses: dict[int, str]) -> bool:
        """Connect to some servers, by their keys; return True if lost paths are back.

        Servers that have just failed are left out if there are others.
        """
        failed = set(self._failures.server_keys)
        others = [address for key, address in addresses.items() if key not in failed]
        candidates = others or list(addresses.values())
        count = min(CHECKED_SERVER_COUNT, len(candidates))
        checked = self._random.sample(candidates, count)
        reached = await asyncio.gather(*map(self._can_connect, checked))
        was_lost = self.are_lost
        self.are_lost = count > 0 and not any(reached)
        self._failures.clear()
        self._suspected.clear()
        if self.are_lost and not was_lost:
            metrics.PATHS_LOST.set(1)
            _log.warning("has lost its paths to backend servers", checked=count)
        elif was_lost and not self.are_lost:
            metrics.PATHS_LOST.set(0)
            _log.info("reaches backend servers again")
        return was_lost and not self.are_lost

    async def _can_connect(self, address: str) -> bool:
        try:
            stream = await self._link.connect(address, CONNECT_TIMEOUT_MS)
        except (ConnectError, ValueError):
            return False
        stream.close()
        return True


class PeerPaths:
    """Entry instances that can serve requests for this one.

    They tell that they have lost their own paths when they are asked, or by asking
    this instance; nothing else announces it.
    """

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        failure_domain: str,
        randomness: random.Random | None = None,
    ) -> None:
        self._clock = clock
        self._fleet = fleet
        self._failure_domain = failure_domain
        self._random = randomness or random.Random()
        self._lost_until_ms: dict[str, float] = {}
        self._served_ms: dict[str, float] = {}

    def is_member(self, host: str) -> bool:
        """Return True if an instance of the fleet has this address."""
        return any(
            member.front_address.rpartition(":")[0] == host
            for member in self._fleet.members()
        )

    def mark_serving(self, address: str) -> None:
        """Record that an instance, by its front address, has served a request."""
        self._served_ms[address] = self._clock.now_ms()

    def mark_lost(self, address: str) -> None:
        """Record that an instance, by its front address, can't reach servers now."""
        now_ms = self._clock.now_ms()
        self._lost_until_ms = {
            name: until_ms
            for name, until_ms in self._lost_until_ms.items()
            if until_ms > now_ms
        }
        self._lost_until_ms[address] = now_ms + PEER_LOST_MS
        self._served_ms.pop(address, None)

    def has_lost_paths(self, member: MemberBody) -> bool:
        """Return True if an instance is known to have lost its paths lately."""
        until_ms = self._lost_until_ms.get(member.front_address, float("-inf"))
        return until_ms > self._clock.now_ms()

    def choose(self, excluded: set[str]) -> str | None:
        """Return the front address of an instance to ask, or None.

        Prefers those that have served lately, and first tries those of the own failure
        domain, since links between domains are narrow.
        """
        now_ms = self._clock.now_ms()
        members = [
            member
            for member in self._fleet.members()
            if member.phase is MemberPhase.SERVING
            and Role.ENTRY in member.roles
            and member.instance_id != self._fleet.instance_id
            and member.front_address not in excluded
            and not self.has_lost_paths(member)
        ]
        serving = [
            member
            for member in members
            if now_ms - self._served_ms.get(member.front_address, float("-inf"))
            < PEER_LOST_MS
        ]
        candidates = serving or members
        local = [m for m in candidates if m.failure_domain == self._failure_domain]
        if local and len(excluded) < LOCAL_ASKED_COUNT:
            candidates = local
        return self._random.choice(candidates).front_address if candidates else None
