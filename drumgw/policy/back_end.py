"""This gateway's view of the back end, derived from the endpoint list and from its own attempts."""

from __future__ import annotations

from drumgw.model.settings import GatewaySettings
from drumgw.policy.concurrency_limit import ConcurrencyLimit
from drumgw.policy.context import DecisionContext
from drumgw.policy.endpoint_set import EndpointSet
from drumgw.policy.outlier_detection import OutlierDetector
from drumgw.policy.overload import OverloadDetector
from drumgw.policy.slow_start import SlowStart


class BackEnd:
    """The known endpoints, and the detectors and limits that apply to single endpoints and to all of them."""

    def __init__(self, context: DecisionContext, settings: GatewaySettings) -> None:
        self.endpoints = EndpointSet(context, settings)
        self.limit = ConcurrencyLimit(settings, self.endpoints)
        self.overload = OverloadDetector(context, self.limit, len(settings.request_classes))
        self.outliers = OutlierDetector(context, self.endpoints)
        self.slow_start = SlowStart(context, settings, self.endpoints)
