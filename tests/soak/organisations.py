"""Organisations of a run: their keys and quotas, and the checks of both."""

import random
import time
from collections import defaultdict

from tornado.httputil import HTTPHeaders

from .ledger import Ledger, count_between

__all__ = ["PUBLIC_PREFIX", "Organisations"]

PUBLIC_PREFIX = "/p/"
NAME_HEADER = "Cardamomrun-Tenant"
RELAYED_HEADER = "Cardamomrun-Relayed-Organisation"
FORGED_NAME = "forged"
FORGED_RATIO = 0.3
PUBLIC_RATIO = 0.3
# Clients send about 130 requests a second, so the first organisation exceeds its quota
# several times over.
LOW_REQUESTS_PER_S = 5
HIGH_REQUESTS_PER_S = 300
# How often clients use the first organisation, the others, the dropped key, an unknown
# key and none.
KEY_WEIGHTS = (35, 35, 18, 8, 4)
QUOTA_WINDOW_S = 5.0
QUOTA_OVER_RATIO = 0.1
QUOTA_SLACK_COUNT = 20
# A dropped key is in force no longer than this after its acknowledgement, or after the
# last fault that stopped or paused an instance.
REVOCATION_S = 2.0


class Organisations:
    """Keys and quotas drawn from a seed, and what requests and servers say of them."""

    def __init__(self, seed: int, ledger: Ledger, duration_s: float) -> None:
        self._rng = random.Random(f"organisations of {seed}")
        self._ledger = ledger
        names = [f"org{number}" for number in range(self._rng.choice((3, 4)))]
        high_count = len(names) - 2
        rates = [LOW_REQUESTS_PER_S, *[HIGH_REQUESTS_PER_S] * high_count, 0]
        self._requests_per_s = dict(zip(names, rates, strict=True))
        self._names = {f"key-{number}": name for number, name in enumerate(names)}
        # The last organisation has no limit.
        self._steady_key = f"key-{len(names) - 1}"
        self._names["dropped"] = names[1]
        self._drop_after_s = self._rng.uniform(0.3, 0.6) * duration_s
        self._keys: dict[str, str | None] = {}
        self._arrivals: list[tuple[str, float]] = []
        self._started_s = float("inf")
        self._dropped_s: float | None = None

    def start(self) -> None:
        """Record the start of the traffic, from which the drop of the key counts."""
        self._started_s = time.monotonic()

    @property
    def is_key_dropped(self) -> bool:
        """True if the next document no longer has the dropped key."""
        return time.monotonic() >= self._started_s + self._drop_after_s

    def document_fields(self, *, is_key_dropped: bool) -> list[dict[str, object]]:
        """Return the organisations as documents state them."""
        return [
            {
                "name": name,
                "api_keys": [
                    key
                    for key, holder in self._names.items()
                    if holder == name and not (is_key_dropped and key == "dropped")
                ],
                "priority": 0,
                "rate_per_s": requests_per_s,
                "burst": requests_per_s,
            }
            for name, requests_per_s in self._requests_per_s.items()
        ]

    def record_drop(self) -> None:
        """Record that a document without the dropped key was acknowledged."""
        if self._dropped_s is None:
            self._dropped_s = time.monotonic()
            self._ledger.record_fault("a key is dropped, acknowledged")

    def draws_public(self) -> bool:
        """Return True if the next request goes to the public route."""
        return self._rng.random() < PUBLIC_RATIO

    def draw_headers(self, request_id: str, *, is_steady: bool) -> dict[str, str]:
        """Return the headers of a request; a steady one is inside its quota."""
        others = [key for key in self._names if key not in ("key-0", "dropped")]
        choices = ("key-0", self._rng.choice(others), "dropped", "unknown", None)
        key = self._rng.choices(choices, KEY_WEIGHTS)[0]
        key = self._steady_key if is_steady else key
        self._keys[request_id] = key
        headers = {} if key is None else {"Authorization": f"Bearer {key}"}
        if self._rng.random() < FORGED_RATIO:
            forged = self._rng.choice((FORGED_NAME, *self._requests_per_s))
            if self._rng.random() < 0.5:
                headers[NAME_HEADER] = forged
            else:
                # As instances send it; servers must see neither.
                headers |= {RELAYED_HEADER: forged, "Connection": RELAYED_HEADER}
        return headers

    def record_arrival(self, request_id: str, path: str, headers: HTTPHeaders) -> None:
        """Record a request at a server, and check its key and the organisation's name."""
        self._arrivals.append((request_id, time.monotonic()))
        if "Authorization" in headers:
            self._ledger.record_violation(f"{request_id} came with its key")
        key = self._keys.get(request_id)
        holder = self._names.get(key) if key else None
        names = headers.get_list(NAME_HEADER)
        allowed = [[] if holder is None else [holder]]
        if path.startswith(PUBLIC_PREFIX):
            if key == "dropped":
                allowed.append([])
        elif holder is None:
            self._ledger.record_violation(f"{request_id} came, its key is {key}")
        if names not in allowed:
            self._ledger.record_violation(
                f"{request_id} came for {names}, its key is {key} of {holder}"
            )

    def check_run(self) -> None:
        """Check keys that got 401, the dropped key and quotas; call after the run."""
        for request_id, status in self._ledger.statuses.items():
            key = self._keys.get(request_id)
            if status in (401, 429):
                self._ledger.checked[str(status)] += 1
            if status == 401 and key in self._names and key != "dropped":
                self._ledger.record_violation(f"{request_id} with {key} was given 401")
        first_s: dict[str, list[float]] = defaultdict(list)
        seen = set()
        for request_id, at_s in self._arrivals:
            sent = self._ledger.sent.get(request_id)
            if sent is None or sent.path.startswith(PUBLIC_PREFIX):
                continue
            key = self._keys.get(request_id) or ""
            if key == "dropped":
                self._check_dropped(request_id, at_s)
            if request_id not in seen and key in self._names:
                seen.add(request_id)
                first_s[self._names[key]].append(at_s)
        for name, requests_per_s in self._requests_per_s.items():
            self._check_quota(name, requests_per_s, first_s[name])

    def _check_dropped(self, request_id: str, at_s: float) -> None:
        if self._dropped_s is None:
            return
        disturbed_s = [end for start, end in self._ledger.disturbed_s if start <= at_s]
        end_s = max([self._dropped_s, *disturbed_s]) + REVOCATION_S
        sent_s = self._ledger.sent_to[request_id][1]
        self._ledger.checked["dropped key"] += 1
        if sent_s > end_s:
            self._ledger.record_violation(
                f"{request_id} came with a key dropped at {self._dropped_s:.3f}, sent "
                f"{sent_s - end_s:.2f} s too late"
            )

    def _check_quota(
        self, name: str, requests_per_s: int, times_s: list[float]
    ) -> None:
        if requests_per_s == 0 or not times_s:
            return
        # Rate and burst are the same number.
        allowed = (requests_per_s * QUOTA_WINDOW_S + requests_per_s) * (
            1 + QUOTA_OVER_RATIO
        ) + QUOTA_SLACK_COUNT
        windows = [
            (count_between(times_s, end_s - QUOTA_WINDOW_S, end_s), end_s)
            for end_s in times_s
        ]
        count, end_s = max(windows)
        self._ledger.record_fault(f"{name}: fullest window {count} of {allowed:.0f}")
        if count > allowed:
            self._ledger.record_violation(
                f"servers got {count} requests of {name} in the {QUOTA_WINDOW_S} s "
                f"before {end_s:.3f}, {allowed:.0f} are allowed"
            )
