"""Choice of targets by expected work, where it is in force, and by reported load elsewhere."""

from collections import defaultdict
from collections.abc import Sequence
from functools import partial
from random import Random

from jaylatch_core.clock import monotonic
from jaylatch_core.deployment import Deployment
from jaylatch_core.enums import Balancing
from jaylatch_core.ids import InstanceId
from jaylatch_decisions.balancing import Candidate, GatewayBalancer, uses_expected_work
from jaylatch_decisions.targets import TargetLoad, choose_target
from jaylatch_node.blackboard import Blackboard
from jaylatch_node.evenness import EvennessReporter


class SentRequest:
    """A request that counts as work of its target until it ends."""

    def __init__(self, balancer: GatewayBalancer, permit: str) -> None:
        self._balancer = balancer
        self._permit = permit

    def end(self, is_answered: bool) -> None:
        """Count the request no longer; a complete answer tells the pace of the target."""
        if is_answered:
            self._balancer.finish(monotonic(), self._permit)
        else:
            self._balancer.abandon(self._permit)


class TargetBalancer:
    """What one gateway knows of the load of its targets, by model or plain service."""

    def __init__(self, board: Blackboard, setting: Balancing, random: Random) -> None:
        self._board = board
        self._setting = setting
        self._random = random
        self._balancers: defaultdict[str, GatewayBalancer] = defaultdict(
            partial(GatewayBalancer, random)
        )
        self._subjects: dict[InstanceId, str] = {}
        self._scope: tuple[Deployment | None, bool] = (None, False)
        self._evenness = EvennessReporter(
            board.metrics.gauge(
                "gateway_largest_load_over_mean",
                "Largest load over the mean of the targets of a subject, this gateway only.",
                ("subject",),
            ),
            "gateway",
        )
        self._sent = 0

    @property
    def is_in_force(self) -> bool:
        """Return whether targets are chosen by expected work."""
        deployment = self._board.grant.deployment
        if self._scope[0] is not deployment:
            self._scope = (deployment, uses_expected_work(self._setting, deployment))
        return self._scope[1]

    def choose(
        self, now: float, subject: str, candidates: Sequence[TargetLoad]
    ) -> TargetLoad | None:
        """Return this gateway's own choice of the targets of a model or service."""
        domain = self._board.identity.failure_domain
        usable = {item.instance: item for item in candidates if item.usable_from <= now}
        if not usable or not self.is_in_force:
            return choose_target(now, candidates, domain, self._random)
        described = [
            Candidate(item.instance, item.slots, item.failure_domain) for item in usable.values()
        ]
        balancer = self._balancers[subject]
        self._evenness.sample(now, subject, balancer.loads(now, described))
        return usable[balancer.choose(now, described, domain)]

    def start(
        self, now: float, subject: str, kind: str, target: TargetLoad, deadline: float
    ) -> SentRequest | None:
        """Count a request that is sent to a target, where expected work is in force."""
        if not self.is_in_force:
            return None
        self._sent += 1
        permit = str(self._sent)
        balancer = self._balancers[subject]
        balancer.start(now, permit, target.instance, kind, deadline)
        self._subjects[target.instance] = subject
        return SentRequest(balancer, permit)

    def record_report(self, now: float, instance: InstanceId, load: int) -> None:
        """Record the load that an answer reports as it begins."""
        subject = self._subjects.get(instance)
        if subject is not None and self.is_in_force:
            self._balancers[subject].record_report(now, instance, load)

    def retain(self, instances: set[InstanceId]) -> None:
        """Forget to which models and services all targets but these belong."""
        self._subjects = {
            item: subject for item, subject in self._subjects.items() if item in instances
        }
