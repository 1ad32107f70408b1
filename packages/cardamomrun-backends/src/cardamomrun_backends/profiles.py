"""Detection constants, one set for each profile that a document can select."""

from dataclasses import dataclass

from cardamomrun_base.documents import DetectionProfile

__all__ = [
    "FASTEST_DETECTION",
    "FEWEST_FALSE_EJECTIONS",
    "DetectionSettings",
    "OutcomeRates",
    "profile_settings",
]


@dataclass(frozen=True)
class OutcomeRates:
    """Rates of one kind of bad outcome that the likelihood ratio compares.

    `typical_floor_ratio` bounds the service's own rate from below, so that a single
    failure in a faultless service is weak evidence. An unhealthy server has a rate of
    at least `unhealthy_ratio`, and at least `unhealthy_odds_factor` times the odds of
    the typical rate.
    """

    typical_floor_ratio: float
    unhealthy_ratio: float
    unhealthy_odds_factor: float


@dataclass(frozen=True)
class DetectionSettings:
    """How much evidence an ejection needs.

    `threshold` is a sum of log-likelihood ratios over the failure domains;
    `domain_threshold` is what each of the supporting failure domains must reach. An
    attempt at an unreachable server counts as `unreachable_weight` failures. The
    thresholds are multiplied by `probation_ratio` for a server that returned from an
    ejection a short while ago.
    """

    threshold: float
    domain_threshold: float
    failures: OutcomeRates
    slowness: OutcomeRates
    unreachable_weight: float
    probation_ratio: float


# One failure adds log(0.10 / 0.005) = 3.0 and one slow answer log(0.20 / 0.02) = 2.3.
# A failure domain supports an ejection after three bad answers close together. With
# two, chance failures could confirm failures that only a broken network path of
# another failure domain causes.
FEWEST_FALSE_EJECTIONS = DetectionSettings(
    threshold=12.0,
    domain_threshold=6.0,
    failures=OutcomeRates(0.005, 0.10, 6.0),
    slowness=OutcomeRates(0.02, 0.20, 6.0),
    unreachable_weight=1.5,
    probation_ratio=0.75,
)

# For Sindh a false ejection costs less than slow answers, after which growers order a
# second time. Two failures close together in each of two failure domains suffice.
FASTEST_DETECTION = DetectionSettings(
    threshold=10.0,
    domain_threshold=5.0,
    failures=OutcomeRates(0.005, 0.10, 6.0),
    slowness=OutcomeRates(0.02, 0.20, 6.0),
    unreachable_weight=2.0,
    probation_ratio=0.5,
)


def profile_settings(profile: DetectionProfile) -> DetectionSettings:
    """Return the detection constants of a profile."""
    if profile is DetectionProfile.FASTEST_DETECTION:
        return FASTEST_DETECTION
    return FEWEST_FALSE_EJECTIONS
