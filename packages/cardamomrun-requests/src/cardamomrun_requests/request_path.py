"""Services that all requests of an instance share."""

from cardamomrun_base.clock import Clock
from cardamomrun_base.interfaces import Backends, Claims, Environment, Quarantine
from cardamomrun_requests import metrics
from cardamomrun_requests.admission import Admission
from cardamomrun_requests.background import BackgroundTasks
from cardamomrun_requests.retries import RetryBudget
from cardamomrun_requests.routing import Router
from cardamomrun_requests.upstream import UpstreamPools

__all__ = ["RETRY_AFTER_S", "RequestServices"]

RETRY_AFTER_S = 1


class RequestServices:
    """The shared services; admission and retry budget are kept per environment."""

    def __init__(
        self,
        clock: Clock,
        router: Router,
        backends: Backends,
        claims: Claims,
        quarantine: Quarantine,
    ) -> None:
        self.clock = clock
        self.router = router
        self.backends = backends
        self.claims = claims
        self.quarantine = quarantine
        self.pools = UpstreamPools(clock, backends)
        self.background = BackgroundTasks()
        self._admissions: dict[str, Admission] = {}
        self._budgets: dict[str, RetryBudget] = {}

    def admission(self, environment: Environment) -> Admission:
        """Return the admission of an environment with its current limits."""
        limits = environment.document.limits
        name = environment.body.environment
        admission = self._admissions.get(name)
        if admission is None:
            admission = self._admissions[name] = Admission(limits)
            length = metrics.QUEUE_LENGTH.labels(name)
            length.set_function(lambda: admission.waiting_count)
        admission.limits = limits
        return admission

    def retry_budget(self, environment: Environment) -> RetryBudget:
        """Return the retry budget of an environment."""
        name = environment.body.environment
        return self._budgets.setdefault(name, RetryBudget(self.clock))
