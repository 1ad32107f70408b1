"""SIGTERM of an entry machine that some requesters still have from the directory."""

import asyncio
import json
import signal
import time
from pathlib import Path

from deployment import (
    DIRECTORY_PORT,
    FRONT_PORT,
    HOST,
    REGION,
    ZONES,
    CaseError,
    Fleet,
    Operator,
    Requester,
    Target,
    call,
    has_trouble,
    manifest,
    route,
    run_case,
)

# Bounds of the site: the platform sends SIGKILL `grace_s` after SIGTERM.
GRACE_S = 6.0
# Requests sent up to now may be cut if their target is at work near the end.
EXCUSED_S = 3.0
# As for `panel-order` of the site: its page says 6,634 ms and its file 6,000, and its work
# takes up to 4,400 ms.
DEADLINE_MS = 6_000
WORK_S = 3.2
SENDING_S = 4.0
SPACING_S = 0.05


async def resolve(fleet):
    """Return the addresses and the time to live that the directory gives."""
    node = fleet.control[0]
    answer = await call(
        f"{node.ip}:{DIRECTORY_PORT}",
        "GET",
        f"/v1/resolve?name={HOST}&region={REGION}&zone={ZONES[0]}",
    )
    if answer is None or answer.status != 200:
        raise CaseError(f"the directory answers {answer}")
    return json.loads(answer.body)


async def play(record):
    """Send unsafe requests while the machine stops, and look for their answers."""
    async with Fleet(record, entry_count=3) as fleet:
        operator = Operator(fleet)
        routes = [
            route(
                "r-1",
                "/pufi791/",
                "unsafe",
                timeout_ms=DEADLINE_MS,
                slo_latency_ms=2_219,
            )
        ]
        await operator.put_first(manifest(7, routes))
        targets = [Target(fleet, slots=6, work_s=WORK_S) for _ in range(25)]
        for target in targets:
            await target.start()
        for target in targets:
            await target.wait_acknowledged()
        await fleet.wait_ready()
        # The targets are known everywhere, and the start lies more than
        # `stability_window_ms` back.
        await asyncio.sleep(5.0)
        leaving = fleet.entry[0]
        front = f"{leaving.ip}:{FRONT_PORT}"
        directory = await resolve(fleet)
        record.write(f"directory: {directory}")
        if front not in directory["addresses"]:
            raise CaseError("the directory does not list the machine")
        kept_s = 3 * directory["ttl_s"]
        requester = Requester(record)
        answers = {}
        sent_s = {}
        waited_s = {}

        async def send(age_s):
            started_s = time.monotonic()
            attempt_id, answer = await requester.send(
                front, "POST", "/pufi791/4c", b"x" * 900, deadline_ms=DEADLINE_MS
            )
            sent_s[attempt_id], answers[attempt_id] = age_s, answer
            waited_s[attempt_id] = time.monotonic() - started_s

        term_s = time.monotonic()
        if has_trouble():
            leaving.signal(signal.SIGTERM)
            record.write(f"platform: SIGTERM to {leaving.ip}")
        sending = []
        while (age_s := time.monotonic() - term_s) < min(SENDING_S, kept_s):
            sending.append(asyncio.create_task(send(age_s)))
            await asyncio.sleep(SPACING_S)
        await asyncio.sleep(term_s + GRACE_S - time.monotonic())
        if has_trouble():
            record.write(f"platform: SIGKILL, has it ended? {not leaving.is_running}")
            leaving.kill()
        await asyncio.gather(*sending)
        ran_ids = {run.attempt_id for target in targets for run in target.runs}
        if not ran_ids:
            raise CaseError("no request ran")
        return [
            f"LOST: {attempt_id}, sent {age_s:.2f} s after SIGTERM, was passed on to a "
            "target and has no answer"
            for attempt_id, age_s in sorted(sent_s.items())
            # Not where the requester's deadline or the route's timeout was reached.
            if age_s > EXCUSED_S
            and attempt_id in ran_ids
            and answers[attempt_id] is None
            and waited_s[attempt_id] < DEADLINE_MS / 1_000
        ]


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
