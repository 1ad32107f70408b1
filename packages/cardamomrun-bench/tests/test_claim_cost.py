"""Tests of the claim cost measurement."""

import json

from cardamomrun_bench import claim_cost


def test_all_costs_are_measured(capsys, monkeypatch):
    """Guards against keepers that abstain, so that no claim is measured."""
    monkeypatch.setattr(claim_cost, "CLAIM_COUNTS", (20,))
    monkeypatch.setattr(claim_cost, "ROSTER_COUNT", 12)
    monkeypatch.setattr(claim_cost, "QUORUM_CLAIM_COUNT", 3)
    claim_cost.main()
    row = json.loads(capsys.readouterr().out)
    assert (row["claim_count"], row["roster_count"]) == (20, 12)
    assert min(row.values()) > 0
