"""Seeded open-loop load; measures latencies and checks every response.

Run it with `python -m cardamomrun_bench.load --addresses=127.0.0.1:8080 --rate-per-s=100
--duration-s=10 --seed=1`.
"""

import asyncio
import json
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

import fire
from hdrh.histogram import HdrHistogram

from cardamomrun_base.clock import MS_PER_S, Clock, SystemClock
from cardamomrun_base.headers import IDEMPOTENCY_KEY, OUTCOME
from cardamomrun_bench.caller import ClientError, PooledClient, Response

__all__ = ["LoadPlan", "LoadResult", "run_load"]

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
US_PER_MS = 1_000
MAX_IN_FLIGHT_COUNT = 2_000


@dataclass(frozen=True)
class LoadPlan:
    """Requests to send: Poisson arrivals at `rate_per_s` for `duration_s`.

    `write_ratio` is the share of POST requests; with `keyed` each carries its own
    idempotency key. Addresses are used round-robin.
    """

    addresses: tuple[str, ...]
    host: str
    rate_per_s: float
    duration_s: float
    seed: int = 1
    write_ratio: float = 0.0
    keyed: bool = False
    path: str = "/"
    body_bytes: int = 64
    timeout_ms: int = 15_000


def _histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


@dataclass
class LoadResult:
    """Counts and latencies of a run; a latency starts at the planned arrival time."""

    sent_count: int = 0
    statuses: Counter[str] = field(default_factory=Counter)
    outcomes: Counter[str] = field(default_factory=Counter)
    errors: Counter[str] = field(default_factory=Counter)
    wrong_answer_count: int = 0
    latency: HdrHistogram = field(default_factory=_histogram)
    execution_ids: list[str] = field(default_factory=list)

    def quantile_ms(self, percent: float) -> float:
        """Return a latency quantile in milliseconds."""
        return self.latency.get_value_at_percentile(percent) / US_PER_MS

    def summary(self) -> dict[str, object]:
        """Return the result as JSON-ready values."""
        return {
            "sent_count": self.sent_count,
            "statuses": dict(self.statuses),
            "outcomes": dict(self.outcomes),
            "errors": dict(self.errors),
            "wrong_answer_count": self.wrong_answer_count,
            "p50_ms": self.quantile_ms(50),
            "p99_ms": self.quantile_ms(99),
            "max_ms": self.latency.get_max_value() / US_PER_MS,
        }


class _LoadRun:
    """Executes a load plan once."""

    def __init__(self, plan: LoadPlan, clock: Clock) -> None:
        self._plan = plan
        self._clock = clock
        self._random = random.Random(plan.seed)
        self._caller = PooledClient(plan.timeout_ms)
        self.result = LoadResult()

    async def run(self) -> LoadResult:
        plan = self._plan
        start_ms = self._clock.now_ms()
        at_ms = start_ms
        tasks: set[asyncio.Task[None]] = set()
        while at_ms - start_ms < plan.duration_s * MS_PER_S:
            at_ms += self._random.expovariate(plan.rate_per_s) * MS_PER_S
            delay_ms = at_ms - self._clock.now_ms()
            if delay_ms > 0:
                await self._clock.sleep_ms(delay_ms)
            if len(tasks) >= MAX_IN_FLIGHT_COUNT:
                self.result.errors["not sent: too many in flight"] += 1
                continue
            task = asyncio.ensure_future(self._send_request(at_ms))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
        self._caller.close()
        return self.result

    async def _send_request(self, arrival_ms: float) -> None:
        plan = self._plan
        index = self.result.sent_count
        self.result.sent_count += 1
        execution_id = f"{plan.seed}-{index}"
        headers = {"Host": plan.host, "Execution-Id": execution_id}
        method, body = "GET", b""
        if self._random.random() < plan.write_ratio:
            method, body = "POST", self._random.randbytes(plan.body_bytes)
            self.result.execution_ids.append(execution_id)
            if plan.keyed:
                headers[IDEMPOTENCY_KEY] = execution_id
        address = plan.addresses[index % len(plan.addresses)]
        try:
            response = await self._caller.request(
                address, method, plan.path, headers, body
            )
        except ClientError as error:
            self.result.errors[str(error)] += 1
            return
        latency_us = (self._clock.now_ms() - arrival_ms) * US_PER_MS
        self.result.latency.record_value(max(LOWEST_US, int(latency_us)))
        self._check_response(response, execution_id)

    def _check_response(self, response: Response, execution_id: str) -> None:
        self.result.statuses[str(response.status)] += 1
        self.result.outcomes[response.headers.get(OUTCOME, "none")] += 1
        if response.status == 200:
            response_execution_id = json.loads(response.body).get("execution_id")
            self.result.wrong_answer_count += response_execution_id != execution_id


async def run_load(plan: LoadPlan, clock: Clock) -> LoadResult:
    """Send the load of a plan and return the result."""
    return await _LoadRun(plan, clock).run()


def main(
    addresses: str | Sequence[str],
    host: str = "rota-desk.example",
    rate_per_s: float = 100.0,
    duration_s: float = 10.0,
    seed: int = 1,
    write_ratio: float = 0.0,
    keyed: bool = False,
) -> None:
    """Send load to comma-separated addresses and print the result as JSON."""
    names = addresses.split(",") if isinstance(addresses, str) else addresses
    plan = LoadPlan(
        tuple(names), host, rate_per_s, duration_s, seed, write_ratio, keyed
    )
    result = asyncio.run(run_load(plan, SystemClock()))
    print(json.dumps(result.summary(), sort_keys=True))


if __name__ == "__main__":
    fire.Fire(main)
