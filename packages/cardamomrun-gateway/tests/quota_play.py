"""Plays the load of 77 organisations over 94 instances through the quota decisions."""

import random
from collections import Counter, defaultdict
from itertools import pairwise

from cardamomrun_base.hashing import rank
from cardamomrun_base.routing_document import Organisation
from cardamomrun_base.settings import GatewaySettings
from cardamomrun_gateway.quota_bucket import (
    Admitted,
    FleetShare,
    GrantBucket,
    InstanceQuota,
    Lease,
    Quota,
)

INSTANCE_COUNT = 94
ORGANISATION_COUNT = 77
SETTINGS = GatewaySettings()
# How long ago an instance may have been heard and still counts as reached; views are
# compared at these ages.
HEARD_AGES_MS = (0.0, 500.0, 1_000.0)
# The fleet has run for a while before the play.
RUNNING_FROM_MS = -60_000.0
# Two questions without an answer.
NO_ANSWER_MS = 100.0


def usual_per_s(number):
    """Return the usual demand: 164 for the first, 10 for the tenth, 2 at the median."""
    return 164.0 * (number + 1) ** -1.2


def organisation(number):
    per_s = 1.6 * usual_per_s(number)
    return Organisation(f"org-{number}", (), 0, per_s, per_s)


class QuotaPlay:
    """`parts` are (time, part of each instance that is not in part 0), in order.

    Instances in different parts don't reach each other. Those in `PAUSED` run nothing.
    """

    PAUSED = -1

    def __init__(self, seed, over_number, *, over_from_ms=4_000.0, parts=()):
        self.random = random.Random(seed)
        self.over_number, self.over_from_ms = over_number, over_from_ms
        self.parts = [(float("-inf"), {}), *parts]
        self.organisations = [organisation(n) for n in range(ORGANISATION_COUNT)]
        self.quotas = [Quota.of(o, SETTINGS) for o in self.organisations]
        self.held, self.buckets, self.views = {}, {}, {}
        self.admitted_ms = defaultdict(list)
        self.refused, self.local = Counter(), Counter()

    def token_server(self, number, without=()):
        names = [str(i) for i in range(INSTANCE_COUNT) if i not in without]
        return int(rank(f"org-{number}", names)[0])

    def run(self, duration_ms):
        for number in range(ORGANISATION_COUNT):
            at_ms = 0.0
            while at_ms < duration_ms:
                is_over = number == self.over_number and at_ms >= self.over_from_ms
                per_s = usual_per_s(number) * (7.5 if is_over else 1.0)
                at_ms += self.random.expovariate(per_s) * 1_000
                self.views.setdefault(at_ms, number)
        arrivals, self.views = sorted(self.views.items()), {}
        for at_ms, number in arrivals:
            self._arrive(at_ms, number, self.random.randrange(INSTANCE_COUNT))
        return self

    def worst_window(self, number):
        """Return the most requests in a window, as a share of what is allowed."""
        per_s = self.organisations[number].requests_per_s
        allowed = (per_s * 5 + self.organisations[number].burst_count) * 1.1 + 20
        times_ms, start, most = sorted(self.admitted_ms[number]), 0, 0
        for end, at_ms in enumerate(times_ms):
            while times_ms[start] <= at_ms - SETTINGS.quota_window_ms:
                start += 1
            most = max(most, end - start + 1)
        return most / allowed

    def _part(self, instance, at_ms):
        current = [parts for from_ms, parts in self.parts if from_ms <= at_ms][-1]
        return current.get(instance, 0)

    def _view(self, instance, at_ms):
        """Return what an instance reaches, and since when."""
        epochs = tuple(
            sum(from_ms <= at_ms - age_ms for from_ms, _ in self.parts)
            for age_ms in HEARD_AGES_MS
        )
        if (instance, epochs) not in self.views:
            reached = tuple(
                other
                for other in range(INSTANCE_COUNT)
                if other == instance
                or any(
                    self._part(other, at_ms - age_ms)
                    == self._part(instance, at_ms - age_ms)
                    != self.PAUSED
                    for age_ms in HEARD_AGES_MS
                )
            )
            is_first = sum(epochs) == len(epochs)
            self.views[instance, epochs] = (
                reached,
                RUNNING_FROM_MS if is_first else at_ms,
            )
        return self.views[instance, epochs]

    def _arrive(self, at_ms, number, instance):
        if self._part(instance, at_ms) == self.PAUSED:
            return
        quota = self.quotas[number]
        held = self.held.get((instance, number))
        if held is None:
            held = InstanceQuota(SETTINGS, at_ms, self.random)
            self.held[instance, number] = held
        held.count_request(at_ms)
        result = held.decide(quota, INSTANCE_COUNT, at_ms, at_ms)
        if result is None:
            at_ms = self._ask(at_ms, number, instance, held)
            result = held.decide(quota, INSTANCE_COUNT, at_ms, at_ms)
        if isinstance(result, Admitted):
            self.admitted_ms[number].append(at_ms + result.delay_ms)
            self.local[number] += result.is_local
        else:
            self.refused[number] += 1

    def _ask(self, at_ms, number, instance, held):
        reached, _ = self._view(instance, at_ms)
        granter, *others = map(int, rank(f"org-{number}", map(str, reached))[:2])
        is_reached = self._part(granter, at_ms) == self._part(instance, at_ms)
        result = None
        debt_count = held.debt_count(at_ms)
        if is_reached:
            wanted_count = held.wanted_count(1, at_ms)
            result = self._grant(at_ms, number, granter, wanted_count, debt_count)
        if result is None and others:
            result = self._ask_deputy(at_ms, number, instance, others[0])
            debt_count = 0
        if result is None:
            held.add_no_answer(self.quotas[number], INSTANCE_COUNT, at_ms)
            return at_ms + NO_ANSWER_MS
        held.settle_debt(debt_count)
        if isinstance(result, Lease):
            held.add_lease(result, at_ms, at_ms, at_ms)
        else:
            held.add_denial(result, at_ms)
        return at_ms

    def _ask_deputy(self, at_ms, number, instance, deputy):
        if self._part(deputy, at_ms) != self._part(instance, at_ms):
            return None
        result = self._grant(at_ms, number, deputy, 1, 0)
        return result if isinstance(result, Lease) else None

    def _grant(self, at_ms, number, granter, wanted_count, debt_count):
        reached, since_ms = self._view(granter, at_ms)
        first_two = rank(f"org-{number}", map(str, reached))[:2]
        if str(granter) not in first_two:
            return None
        is_deputy = str(granter) != first_two[0]
        share = FleetShare(len(reached), INSTANCE_COUNT)
        quota = self.quotas[number].granted(share)
        bucket, bucket_since_ms = self.buckets.get((granter, number), (None, 0))
        woke_ms = max(
            (
                from_ms
                for (_, before), (from_ms, _) in pairwise(self.parts)
                if before.get(granter) == self.PAUSED and from_ms <= at_ms
            ),
            default=float("-inf"),
        )
        if bucket is None:
            bucket_since_ms = at_ms if is_deputy else since_ms
            bucket = GrantBucket(quota, bucket_since_ms, at_ms, self.random)
        elif bucket_since_ms < woke_ms:
            bucket.restart(quota, woke_ms)
        if is_deputy:
            bucket.hand_over(quota, at_ms)
        elif bucket.handover_age_ms(at_ms) is not None:
            bucket.resume(at_ms)
            bucket.allow_takeover(quota, at_ms)
        self.buckets[granter, number] = bucket, at_ms
        return bucket.take(quota, wanted_count, debt_count, at_ms)
