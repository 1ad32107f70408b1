"""Tables of `docs/CAPACITY.md`, written between markers from measured slopes."""

import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from cardamomrun_bench.capacity_fleet import RECORD_BYTES
from cardamomrun_bench.capacity_model import Estimate, Slopes, Target
from cardamomrun_bench.capacity_world import filler_bytes

__all__ = ["TABLES", "render_page"]

MARKED = re.compile(
    r"(?P<start><!-- capacity:(?P<name>[a-z-]+) -->\n).*?(?P<end><!-- /capacity -->)",
    re.DOTALL,
)
DAY_S = 86_400.0
ENVIRONMENTS_A_SERVICE = 2
REPORTS_PER_S = 2
ROUNDS_PER_S = 4
# Sizes of encoded records as `capacity_world` builds them.
MEMBER_RECORD = 162.0
BACKEND_RECORD = 183.0
EJECTIONS_RECORD = 153.0
# Bytes of each member in a claims roster, which names those now and before.
ROSTER_MEMBER = 31.0
OBSERVERS = 8
YEAR_DAYS = 365
# Rosters change at most once in 10 minutes, for all instances that left meanwhile.
ROSTERS_A_DAY = 144.0
LEAVING_A_DAY = 500.0
# Control keeps the first answers of this many changes, and the audit trail of all.
FIRST_ANSWER_COUNT = 20_000


@dataclass(frozen=True)
class Row:
    """One figure of a table; `budget` is None if no budget limits it."""

    role: str
    what: str
    estimate: Estimate
    unit: str
    mechanism: str
    budget: float | None = None
    remedy: str = ""


def render_page(page: str, results: Iterable[dict[str, Any]]) -> str:
    """Return the page with all marked tables written anew."""
    slopes = Slopes(results)
    target = Target()

    def table(match: re.Match[str]) -> str:
        text = TABLES[match["name"]](slopes, target)
        return f"{match['start']}{text}\n{match['end']}"

    return MARKED.sub(table, page)


def _number(value: float) -> str:
    """Return a number with three significant digits.

    >>> _number(16.04), _number(0.01234), _number(123456.0)
    ('16.0', '0.0123', '123,456')
    """
    if value == 0:
        return "0"
    if abs(value) >= 1_000:
        return f"{value:,.0f}"
    if abs(value) >= 100:
        return f"{value:.0f}"
    return f"{value:#.3g}"


def _table(head: tuple[str, ...], rows: Iterable[tuple[str, ...]]) -> str:
    lines = [head, tuple("---" for _ in head), *rows]
    return "\n".join(f"| {' | '.join(cells)} |" for cells in lines)


def _share(row: Row) -> str:
    if row.budget is None:
        return "no budget"
    share = row.estimate.value / row.budget
    if share <= 1:
        return f"{share * 100:.1f}%"
    return f"{share * 100:.0f}%: **over budget**; {row.remedy}"


def _rows(rows: Iterable[Row], slopes: Slopes) -> str:
    return _table(
        ("role", "figure", "at the target", "error", "slopes", "command", "mechanism", "share of the budget", "extrapolated"),
        (_cells(row, slopes) for row in rows),
    )  # fmt: skip


def _cells(row: Row, slopes: Slopes) -> tuple[str, ...]:
    estimate = row.estimate
    parts = sorted({slopes.source(name)["part"] for name in estimate.slopes})
    return (
        row.role,
        row.what,
        f"{_number(estimate.value)} {row.unit}",
        f"±{_number(estimate.error)}",
        ", ".join(f"`{name}`" for name in estimate.slopes),
        ", ".join(f"`{part}`" for part in parts),
        row.mechanism,
        _share(row),
        "; ".join(estimate.ranges) or "no",
    )


def slopes_table(slopes: Slopes, target: Target) -> str:
    """Return all fits."""
    rows = []
    for name, series in slopes.series.items():
        fit = series.fit
        rows.append(
            (
                f"`{name}`",
                f"{series.y} against {series.x}",
                f"{fit.lowest:,.0f}-{fit.highest:,.0f} ({fit.point_count})",
                f"{_number(fit.slope)} ± {_number(fit.slope_error)}",
                _number(fit.intercept),
                _number(fit.residual),
                f"`{slopes.results[name]['part']}`",
            )
        )
    head = ("slope", "what", "range (points)", "slope ± error", "intercept", "residual", "command")  # fmt: skip
    return _table(head, rows)


def commands_table(slopes: Slopes, target: Target) -> str:
    """Return the command and seed of each part."""
    parts = {one["part"]: one for one in slopes.results.values()}
    rows = [
        (f"`{name}`", f"`{one['command']}`", str(one["seed"]), f"{one['elapsed_s']} s")
        for name, one in sorted(parts.items())
    ]
    return _table(("name", "command", "seed", "time"), rows)


def comparison_table(slopes: Slopes, target: Target) -> str:
    """Return light listeners and whole processes of the same numbers side by side."""
    rows = []
    for meter in ("sent", "received", "cpu", "memory"):
        light = dict(slopes.series[f"light.{meter}"].points)
        process = dict(slopes.series[f"process.{meter}"].points)
        for count in sorted(light.keys() & process.keys()):
            one, two = light[count], process[count]
            unit = slopes.series[f"process.{meter}"].y
            cells = (unit, meter, f"{count:.0f}", _number(one), _number(two))
            rows.append((*cells, _number(one / two)))
    head = ("unit", "meter", "nodes", "light listener", "whole process", "ratio")
    return _table(head, rows)


ALL_BODIES = "flooding-all-bodies"


def flooding_table(slopes: Slopes, target: Target) -> str:
    """Return the cost of a change with bodies on all links and on a tree of them."""
    rows = []
    for size in RECORD_BYTES:
        for meter in ("sent", "cpu", "reach", "reach_max"):
            name = f"flood.{size}.{meter}"
            before = dict(slopes.series[f"{ALL_BODIES}/{name}"].points)
            after = dict(slopes.series[name].points)
            for count in sorted(before.keys() & after.keys()):
                one, two = before[count], after[count]
                cells = (str(filler_bytes(size)), slopes.series[name].y)
                numbers = (f"{count:.0f}", _number(one), _number(two))
                rows.append((*cells, *numbers, _number(two / one)))
    head = ("record bytes", "unit", "nodes", "bodies on all links", "bodies on a tree", "ratio")  # fmt: skip
    return _table(head, rows)


def _environments(target: Target) -> float:
    return float(target.services * ENVIRONMENTS_A_SERVICE)


def state_table(slopes: Slopes, target: Target) -> str:
    """Return the state that each role holds in memory."""
    store, retained = "replicated records (4.1)", slopes.per
    per_document = slopes.at("store.route.memory", target.routes_per_service)
    audit = target.changes_a_day * YEAR_DAYS
    rows = [
        Row("all", "members, a node", retained("store.member.memory", target.nodes), "bytes", store, target.memory_bytes),
        Row("all", "backend servers", retained("store.backend.memory", target.servers), "bytes", store, target.memory_bytes),
        Row("all", "documents, 110 services in 2 stages", per_document.times(_environments(target)), "bytes", store, target.memory_bytes),
        Row("entry", "index of routes in use", retained("request.table", target.routes), "bytes", "longest path prefix (6)", target.memory_bytes),
        Row("entry", "claims held as keeper", retained("claim.memory", target.claims_held), "bytes", "idempotency claims (4.5)", target.memory_bytes),
        Row("entry", "customers, after they were served", slopes.at("request.customer", target.customers), "bytes", "admission, one queue a waiting customer (4.8)", target.memory_bytes),
        Row("entry", "an idle connection of a caller", slopes.per("request.idle"), "bytes", "front door (3)"),
        Row("entry", "a request in flight", slopes.per("request.memory"), "bytes", "front door (3)"),
        Row("entry", "the whole idle process", slopes.at("process.memory", target.nodes), "bytes", "node binary (3)", target.memory_bytes),
        Row("control leader", "evidence about all servers", retained("decide.memory", target.servers), "bytes", "CUSUM by server and failure domain (4.4)", target.memory_bytes),
        Row("control leader, follower", "state after a year of changes", _year_of_control(slopes, target), "bytes", "control state, audit chain (4.3)", target.memory_bytes, "audit entries before the last snapshot kept on disk only"),
        Row("control leader, follower", "snapshot after a year of changes", slopes.at("control.snapshot", audit), "bytes", "snapshots of the log (4.3)"),
    ]  # fmt: skip
    return _rows(rows, slopes)


def _year_of_control(slopes: Slopes, target: Target) -> Estimate:
    """Return the memory of the control state after a year of changes."""
    changes = target.changes_a_day * YEAR_DAYS
    state = slopes.at("control.memory", FIRST_ANSWER_COUNT)
    return state.plus(slopes.per("control.audit", changes - FIRST_ANSWER_COUNT))


def _membership_changes_per_s(target: Target) -> float:
    """Four phases of a member at each restart, suspicions and a rejoin at a failure."""
    restarts = 4 * target.restarts_a_day
    failures = (OBSERVERS + 2) * target.failures_a_day
    return (restarts + failures) / DAY_S


def _server_changes_per_s(target: Target) -> float:
    """Four phases of a backend server at each of its restarts, and registrar changes."""
    own = 4 * target.servers * target.server_restarts_a_day
    left = target.restarts_a_day + target.failures_a_day
    return (own + left * target.servers / target.nodes) / DAY_S


def _document_record(slopes: Slopes, target: Target) -> Estimate:
    """Return the bytes of an environment record as control publishes it."""
    return slopes.at("store.route.document", target.routes_per_service)


def _rate(slopes: Slopes, target: Target, meter: str) -> dict[str, Estimate]:
    """Return the flooding cost a node and second, by cause."""
    nodes = target.nodes
    member = slopes.flood(meter, MEMBER_RECORD, nodes)
    backend = slopes.flood(meter, BACKEND_RECORD, nodes)
    lease = slopes.flood(meter, EJECTIONS_RECORD, nodes)
    document = slopes.flood(meter, _document_record(slopes, target).value, nodes)
    roster = slopes.flood(meter, 2 * ROSTER_MEMBER * nodes, nodes)
    return {
        "membership": member.times(_membership_changes_per_s(target)),
        "servers": backend.times(_server_changes_per_s(target)),
        "leases": lease.times(target.services * target.ejecting_ratio),
        "changes": document.times(target.changes_a_day / DAY_S),
        "roster": roster.times(ROSTERS_A_DAY / DAY_S),
    }


FLOOD_CAUSES = {
    "membership": ("restarts and failures of instances", "membership (4.2)"),
    "servers": ("phases of backend servers, each restarted daily", "announcements (4.9)"),
    "leases": ("ejection leases of 5% of the services, renewed each 1 s", "ejection leases (4.4)"),
    "changes": ("configuration changes", "environment records (4.3)"),
    "roster": ("claims rosters, one in 10 minutes", "claims roster (4.5)"),
}  # fmt: skip
FLOOD_REMEDY = "one record for the leases of all services, renewed each 2 s"
REPORT_REMEDY = "reports keyed by 64-bit hashes and sent each second"
DIVIDE_REMEDY = "services divided among control instances by leases in the log, and decisions only for services with new evidence"


def _report_bytes(slopes: Slopes, target: Target) -> Estimate:
    seen = target.servers_seen(1 / REPORTS_PER_S)
    return slopes.at("report.bytes", seen).times(REPORTS_PER_S)


def _sum(estimates: Iterable[Estimate]) -> Estimate:
    total = Estimate(0.0, 0.0, ())
    for estimate in estimates:
        total = total.plus(estimate)
    return total


def messages_table(slopes: Slopes, target: Target) -> str:
    """Return the bytes a second that a node sends, by role and cause."""
    budget = target.bytes_per_s
    idle = slopes.level("light.sent", target.nodes)
    rows = [
        Row("all", "idle: pings and digest exchange", idle, "B/s", "overlay pings, anti-entropy (4.1, 4.2)", budget),
    ]  # fmt: skip
    flooded = _rate(slopes, target, "sent")
    for cause, estimate in flooded.items():
        what, mechanism = FLOOD_CAUSES[cause]
        rows.append(Row("all", what, estimate, "B/s", mechanism, budget, FLOOD_REMEDY))
    reports = _report_bytes(slopes, target)
    entry = _sum([idle, reports, *flooded.values()])
    claims = slopes.per("claim.bytes", target.claims_per_node)
    documents = _document_record(slopes, target)
    per_change = slopes.flood("sent", documents.value, target.nodes)
    rows += [
        Row("entry", f"reports, {target.servers_seen(0.5):.0f} servers each 500 ms", reports, "B/s", "reports to the decider (4.4)", budget, REPORT_REMEDY),
        Row("entry", "control work in all", entry, "B/s", "all of the above", budget, f"{REPORT_REMEDY}; {FLOOD_REMEDY}"),
        Row("entry", "claims (request work, not counted above)", claims, "B/s", "idempotency claims (4.5)", None),
        Row("control leader", "reports received from 420 nodes", reports.times(target.nodes), "B/s", "reports to the decider (4.4)", budget, f"{REPORT_REMEDY}; {DIVIDE_REMEDY}. The leader is one of the 8 instances set aside"),
        Row("control leader, follower", "a change of 3 routes, agreement and flooding at 3 instances", slopes.per("control.bytes"), "B a change", "replicated log (4.3)", None),
        Row("all", "a change of 59 routes", per_change, "B a change", "flooding (4.1)", None),
    ]  # fmt: skip
    return _rows(rows, slopes)


def processor_table(slopes: Slopes, target: Target) -> str:
    """Return the processor time of each role, by cause."""
    budget = target.cpu_ms_per_s
    seen = target.servers_seen(1 / REPORTS_PER_S)
    idle = slopes.level("light.cpu", target.nodes)
    whole = slopes.level("process.cpu", target.nodes)
    flooded = _sum(_rate(slopes, target, "cpu").values())
    sender = slopes.at("report.sender", seen).times(REPORTS_PER_S)
    parse = slopes.at("store.route.start", target.routes_per_service)
    parsed = parse.times(target.changes_a_day / DAY_S)
    reports = slopes.at("report.decider", seen).times(REPORTS_PER_S * target.nodes)
    rounds = slopes.at("decide.round", target.services).times(ROUNDS_PER_S)
    quiet = slopes.at("decide.idle", target.services).times(ROUNDS_PER_S)
    leader = reports.plus(rounds)
    rows = [
        Row("all", "idle links and exchange (light listener)", idle, "ms/s", "overlay (4.2)", budget),
        Row("entry", "idle whole process", whole, "ms/s", "overlay, registry sweep, front door (4.2, 4.9)", budget),
        Row("entry", "idle whole process, if its cost went on growing along the line", slopes.at("process.cpu", target.nodes), "ms/s", "overlay, registry sweep, front door", budget, "not decided by these sizes: light listeners level off, whole processes were measured up to 40"),
        Row("entry", "flooded records", flooded, "ms/s", "flooding (4.1)", budget, FLOOD_REMEDY),
        Row("entry", "reports", sender, "ms/s", "reports to the decider (4.4)", budget, REPORT_REMEDY),
        Row("entry", "documents put in force", parsed, "ms/s", "environment records (4.3)", budget),
        Row("entry", "control work in all", _sum([whole, flooded, sender, parsed]), "ms/s", "all of the above", budget, f"{REPORT_REMEDY}; {FLOOD_REMEDY}"),
        Row("entry", "one document of 59 routes, without pause", parse, "ms", "environment records (4.3); requests wait meanwhile", target.added_ms, "decoding in steps"),
        Row("entry", "a request", slopes.per("request.cpu"), "ms", "front door, upstream connections (4.8)", None),
        Row("entry", f"{target.requests_per_node:.0f} requests/s (request work)", slopes.per("request.cpu", target.requests_per_node), "ms/s", "front door", None),
        Row("entry", "claims of a node and its share as keeper (request work)", slopes.per("claim.cpu", target.claims_per_node), "ms/s", "idempotency claims (4.5)", None),
        Row("entry", "a route lookup among 6,500", slopes.at("request.lookup", target.routes), "us", "longest path prefix (6)", None),
        Row("control leader", "reports of 420 nodes", reports, "ms/s", "decider (4.4)", 1_000.0, DIVIDE_REMEDY),
        Row("control leader", "decisions with evidence about all servers", rounds, "ms/s", "decider (4.4)", 1_000.0, DIVIDE_REMEDY),
        Row("control leader", "decisions in quiet rounds", quiet, "ms/s", "decider (4.4)", 1_000.0, DIVIDE_REMEDY),
        Row("control leader", "reports and decisions: share of the one core that a process has", leader, "ms/s", "decider (4.4)", 1_000.0, f"{DIVIDE_REMEDY}; {REPORT_REMEDY}"),
        Row("control leader", "the longest time without serving heartbeats: a round", slopes.at("decide.round", target.services), "ms", "decider (4.4), election timeout 1,000 ms", 1_000.0, DIVIDE_REMEDY),
        Row("control leader, follower", "a change, at 3 instances", slopes.per("control.cpu"), "ms a change", "replicated log (4.3)", None),
        Row("backend server", "probes (active health checks)", Estimate(0.0, 0.0, ()), "ms/s", "none: evidence comes from requests (4.4)", None),
    ]  # fmt: skip
    return _rows(rows, slopes)


def times_table(slopes: Slopes, target: Target) -> str:
    """Return the times to come into force, to start, and the added latency."""
    audit = target.changes_a_day * YEAR_DAYS
    parse = slopes.at("store.route.parse", target.routes_per_service)
    checked = slopes.at("store.route.start", target.routes_per_service)
    document_count = _environments(target)
    reach = slopes.at("flood.5000.reach", target.nodes)
    latency = dict(slopes.series["request.latency"].points)
    p99 = Estimate(latency[99.0], slopes.series["request.latency"].fit.residual, ("request.latency",))  # fmt: skip
    rows = [
        Row("all", "a record of 5,000 bytes to all nodes; all share one core here", reach, "ms", "flooding (4.1)", target.in_force_ms),
        Row("all", "a change in force on all; all share one core here", slopes.at("control.in_force", target.nodes), "ms", "log, flooding, documents (4.1, 4.3)", target.in_force_ms),
        Row("control leader", "start: restore the snapshot after a year of changes", slopes.at("control.restore", audit), "ms", "snapshots (4.3)"),
        Row("control leader", "start: read a log of 10,000 entries without a snapshot", slopes.at("control.open", 10_000), "ms", "durable log (4.3); snapshots limit it to 1,000 entries", target.in_force_ms),
        Row("entry", "start: merge two snapshots of records", slopes.at("store.snapshot.merge", target.records).times(2), "ms", "start from peers (4.2)", target.in_force_ms),
        Row("control leader", "parse a document of 59 routes at a change, in a thread", parse, "ms", "environment records", target.in_force_ms),
        Row("entry", "start: 220 documents in their checked form", checked.times(document_count), "ms", "environment records", target.in_force_ms),
        Row("entry", "added latency, 99th percentile, 107 requests/s", p99, "ms", "request path", target.added_ms, "fewer steps a request"),
    ]  # fmt: skip
    return _rows(rows, slopes)


@dataclass(frozen=True)
class _Event:
    name: str
    members: float
    backends: float
    spread_s: float
    notices: str
    acts: str
    callers: str
    rosters: float = 0.0
    snapshots: float = 0.0


def _events(target: Target) -> list[_Event]:
    servers = target.servers / target.nodes
    domain = target.nodes / target.domains
    return [
        _Event(
            "an instance fails (20 a day)", OBSERVERS, servers, 4.0,
            "its about 8 neighbours, after 3 s of silence or at once on a reset",
            "neighbours publish suspicions; its servers renew elsewhere",
            "connections cut, requests in flight `unknown`; others try the next address; claims go on with 2 of 3 keepers",
            rosters=ROSTERS_A_DAY / LEAVING_A_DAY,
        ),
        _Event(
            "an instance restarts (480 a day)", 4, servers, 10.0,
            "all, by its phases", "it leaves by itself and pulls 2 snapshots at its start",
            "nothing: requests in flight end; its keys have 2 of 3 keepers for 10 minutes",
            rosters=ROSTERS_A_DAY / LEAVING_A_DAY, snapshots=2,
        ),
        _Event(
            f"a rack of {target.rack_nodes} instances (weekly)",
            OBSERVERS * target.rack_nodes, servers * target.rack_nodes, 4.0,
            "the neighbours outside the rack", "as for one instance, 20 at once",
            "as for one instance; keys with 2 keepers in the rack are refused as not run (the keepers are in different failure domains, so none if the rack is in one)",
            rosters=1,
        ),
        _Event(
            f"a failure domain of {domain:.0f} instances (once or twice a year)",
            OBSERVERS / 2 * domain, servers * domain + target.servers / target.domains, 4.0,
            "the neighbours in the other 3 domains; registrars, for its backend servers",
            "suspicions; backend servers there are published as gone in 2.5 s; control elects within 3 s",
            "a quarter of the connections is cut; every key keeps 2 of 3 keepers; capacity falls by a quarter",
            rosters=1,
        ),
        _Event(
            f"a region partition of minutes, {target.nodes // 2} on each side",
            OBSERVERS / 2 * target.nodes / 2, servers * target.nodes / 2, 4.0,
            "all links between the regions, after 3 s of silence",
            "each side considers the other failed; the side with the majority of control accepts changes",
            "each side serves with its own servers; keys with 2 keepers on the other side are refused as not run; no configuration changes on the side of the minority",
            rosters=1,
        ),
        _Event(
            "the partition heals", OBSERVERS / 2 * target.nodes + target.nodes, servers * target.nodes, 10.0,
            "probes of failed members each 10 s", "members refute, suspicions are withdrawn, anti-entropy merges",
            "all servers and keepers again", rosters=1,
        ),
    ]  # fmt: skip


def days_table(slopes: Slopes, target: Target) -> str:
    """Return who notices and acts on each event and what it costs a node."""
    rows = [_event_cells(event, slopes, target) for event in _events(target)]
    head = ("event", "notices", "acts", "records flooded", "bytes a node", "processor a node", "rate meanwhile", "callers see")  # fmt: skip
    return _table(head, rows)


def _event_cells(event: _Event, slopes: Slopes, target: Target) -> tuple[str, ...]:
    nodes = target.nodes
    changed = event.members + event.backends
    roster_size = 2 * ROSTER_MEMBER * nodes

    def cost(meter: str) -> Estimate:
        records = slopes.flood(meter, MEMBER_RECORD, nodes).times(changed)
        roster = slopes.flood(meter, roster_size, nodes).times(event.rosters)
        return records.plus(roster)

    sent, cpu = cost("sent"), cost("cpu")
    note = ""
    if event.snapshots:
        pulled = slopes.at("store.snapshot.bytes", target.records)
        merged = slopes.at("store.snapshot.merge", target.records)
        note = (
            f"; the starting one receives {_number(pulled.value * event.snapshots)} "
            f"and spends {_number(merged.value * event.snapshots)} ms"
        )
    rate = slopes.flood("sent", MEMBER_RECORD, nodes).times(changed / event.spread_s)
    share = rate.value / target.bytes_per_s
    over = f", **over budget** for {event.spread_s:.0f} s" if share > 1 else ""
    return (
        event.name,
        event.notices,
        event.acts,
        f"{changed:,.0f}, and {_number(event.rosters)} rosters",
        f"{_number(sent.value)} ± {_number(sent.error)}{note}",
        f"{_number(cpu.value)} ± {_number(cpu.error)} ms",
        f"{_number(rate.value)} B/s over {event.spread_s:.0f} s ({share * 100:.0f}%){over}",
        event.callers,
    )


def relief_table(slopes: Slopes, target: Target) -> str:
    """Return what the mechanisms that are not built yet would leave over."""
    hashed = slopes.at("report.hashed", target.servers_seen(1.0))
    reports = _report_bytes(slopes, target)
    seen = target.servers_seen(1.0 / REPORTS_PER_S)
    rounds = slopes.at("decide.round", target.services).times(ROUNDS_PER_S)
    leader = slopes.at("report.decider", seen).times(REPORTS_PER_S * target.nodes)
    per_second = slopes.at("report.decider", target.servers_seen(1.0))
    leases = slopes.flood("sent", EJECTIONS_RECORD, target.nodes)
    services = target.services * target.ejecting_ratio
    rows = [
        Row("entry", "reports as today", reports, "B/s", "every 500 ms, by name", target.bytes_per_s),
        Row("entry", "reports keyed by 64-bit hashes, each second", hashed, "B/s", "4.4; counts and hashes only, encoded but not sent", target.bytes_per_s),
        Row("control leader", "reports each second, by name", per_second.times(target.nodes), "ms/s", "4.4", 1_000.0),
        Row("control leader", "reports and decisions divided among 3 instances", leader.plus(rounds).times(1 / 3), "ms/s", "leases in the log; arithmetic, not run", 1_000.0),
        Row("all", "ejection leases of 5% of the services, one record each", leases.times(services), "B/s", "4.4 as today", target.bytes_per_s, FLOOD_REMEDY),
        Row("all", "the same leases in one record, each 2 s", slopes.flood("sent", EJECTIONS_RECORD * services, target.nodes).times(0.5), "B/s", "one record for all services, leases of 5 s; arithmetic, not run", target.bytes_per_s, FLOOD_REMEDY),
    ]  # fmt: skip
    return _rows(rows, slopes)


def budget_table(slopes: Slopes, target: Target) -> str:
    """Return the budgets with the sum that meets each."""
    seen = target.servers_seen(1 / REPORTS_PER_S)
    entry_bytes = _sum(
        [
            slopes.level("light.sent", target.nodes),
            _report_bytes(slopes, target),
            *_rate(slopes, target, "sent").values(),
        ]
    )
    entry_cpu = _sum(
        [
            slopes.level("process.cpu", target.nodes),
            slopes.at("report.sender", seen).times(REPORTS_PER_S),
            *_rate(slopes, target, "cpu").values(),
        ]
    )
    per_document = slopes.at("store.route.memory", target.routes_per_service)
    memory = _sum(
        [
            slopes.at("process.memory", target.nodes),
            slopes.per("store.member.memory", target.nodes),
            slopes.per("store.backend.memory", target.servers),
            per_document.times(_environments(target)),
            slopes.per("request.table", target.routes),
            slopes.per("claim.memory", target.claims_held),
        ]
    )
    leader_cpu = (
        slopes.at("report.decider", seen)
        .times(REPORTS_PER_S * target.nodes)
        .plus(slopes.at("decide.round", target.services).times(ROUNDS_PER_S))
    )
    year = _year_of_control(slopes, target)
    leader_memory = _sum(
        [
            slopes.at("process.memory", target.nodes),
            slopes.per("store.backend.memory", target.servers),
            slopes.per("decide.memory", target.servers),
            year,
        ]
    )
    latency = dict(slopes.series["request.latency"].points)
    p99 = Estimate(latency[99.0], slopes.series["request.latency"].fit.residual, ("request.latency",))  # fmt: skip
    change = slopes.at("control.in_force", target.nodes)
    rows = [
        Row("entry", "bytes sent for control work", entry_bytes, "B/s", "4.1, 4.2, 4.4", target.bytes_per_s, f"{REPORT_REMEDY}; {FLOOD_REMEDY}"),
        Row("entry", "processor for control work", entry_cpu, "ms/s", "4.1, 4.2, 4.4", target.cpu_ms_per_s, f"{REPORT_REMEDY}; {FLOOD_REMEDY}"),
        Row("entry", "memory, the whole process at rest", memory, "bytes", "4.1, 4.3, 4.5", target.memory_bytes, "documents without their bytes on entry instances"),
        Row("control leader", "share of one core for reports and decisions", leader_cpu, "ms/s", "4.4", 1_000.0, f"{DIVIDE_REMEDY}; {REPORT_REMEDY}"),
        Row("control leader", "bytes received in reports", _report_bytes(slopes, target).times(target.nodes), "B/s", "4.4", target.bytes_per_s, f"{REPORT_REMEDY}, and {DIVIDE_REMEDY}, reduce it but do not bring it under"),
        Row("entry", "one document of 59 routes put in force, without pause", slopes.at("store.route.start", target.routes_per_service), "ms", "4.3", target.added_ms, "decoding in steps"),
        Row("entry", "start: 220 documents in their checked form", slopes.at("store.route.start", target.routes_per_service).times(_environments(target)), "ms", "4.3", target.in_force_ms),
        Row("control leader", "memory after a year of changes", leader_memory, "bytes", "4.3, 4.4", target.memory_bytes, "audit entries before the last snapshot kept on disk only"),
        Row("all", "a change in force on all; all share one core here", change, "ms", "4.1, 4.3", target.in_force_ms, "less work a document"),
        Row("entry", "added latency, 99th percentile", p99, "ms", "request path", target.added_ms, "fewer steps a request"),
    ]  # fmt: skip
    return _rows(rows, slopes)


TABLES: dict[str, Callable[[Slopes, Target], str]] = {
    "budget": budget_table,
    "commands": commands_table,
    "comparison": comparison_table,
    "days": days_table,
    "flooding": flooding_table,
    "messages": messages_table,
    "processor": processor_table,
    "relief": relief_table,
    "slopes": slopes_table,
    "state": state_table,
    "times": times_table,
}
