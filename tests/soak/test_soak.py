"""A short run of the soak, and each seed that ever failed."""

import asyncio

import pytest

from .run import Soak, play

SHORT = Soak(seed=1, entry_count=2, server_count=3, fault_count=6, duration_s=5.0)
# Each seed that failed, by a line on its cause.
FAILED: dict[str, Soak] = {
    "a departure is published late when its leader dies just after the answer": Soak(
        seed=101
    ),
}


def check(soak, folder):
    ledger = asyncio.run(play(soak, folder))
    assert ledger.served_count > 50, "nothing was shown"
    report = "\n".join([*sorted(ledger.faults), *ledger.broken])
    assert not ledger.broken, report


@pytest.mark.timeout(180)
def test_promises_hold_through_a_short_run(tmp_path):
    """Guards against promises that hold in each part and not in the whole."""
    check(SHORT, tmp_path)


@pytest.mark.soak
@pytest.mark.timeout(300)
@pytest.mark.parametrize("cause", FAILED)
def test_seeds_that_failed_once_hold(cause, tmp_path):
    check(FAILED[cause], tmp_path)
