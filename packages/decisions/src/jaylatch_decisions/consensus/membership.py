"""The set of voters of a log while control instances join, leave and are lost.

Answers the load of a replacement: successors run beside the instances that they are to replace,
which then end one soon after another, announced or not, the leader among them. With the intended
number of voters alone, two of three voters may end before a lost voter is noticed, and the log has
no quorum for good. So successors that wait get votes in pairs, votes of instances that end as
planned are handed on first, and the votes of the lost are taken back one by one.

The set of voters changes by one instance at a time, and it never gets smaller than intended.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from jaylatch_core.ids import InstanceId

VOTER_LOSS_TIMEOUT = 1.5
"""Seconds without contact after which the vote of an instance may be taken back. One that returns
later has lost only its vote, and asks to be admitted again."""
REQUEST_RETENTION = 2.5
"""Seconds for which a request for admission counts; it is repeated each second."""
LEAVE_RETENTION = 10.0
"""Seconds after which an instance that wanted to end is taken for one that goes on."""
MIN_VOTERS = 3
"""Voters that a log keeps if it has had them. The settings of an instance that has been added later
may name fewer control instances than there are."""
REQUEST_WAIT = 2.0
"""Seconds within which all waiting instances have asked a new leader for admission."""


@dataclass(frozen=True)
class AddVoter:
    """The instance gets a vote."""

    instance: InstanceId


@dataclass(frozen=True)
class RemoveVoter:
    """The vote of the instance is taken back."""

    instance: InstanceId


VoterChange = AddVoter | RemoveVoter


@dataclass(frozen=True)
class VoterSet:
    """The voters of a log as their leader sees them.

    ``wanted`` is the number of voters that the settings state, and ``lost`` are those without
    contact. ``disks`` numbers the disks of the voters that have reported theirs; a newer disk has a
    higher number.
    """

    voters: tuple[InstanceId, ...]
    leader: InstanceId
    wanted: int
    lost: tuple[InstanceId, ...] = ()
    disks: Mapping[InstanceId, int] = field(default_factory=dict)

    @property
    def min_size(self) -> int:
        """Return the intended number of voters."""
        odd = (len(self.voters) + 1) // 2 * 2 - 1
        return max(self.wanted, min(MIN_VOTERS, odd))

    @property
    def max_size(self) -> int:
        """Return the size at which as many successors as voters are intended have a majority."""
        return 2 * self.min_size - 1

    @property
    def is_enlarged(self) -> bool:
        """Return whether there are more voters than intended."""
        return len(self.voters) > self.min_size

    def after(self, change: VoterChange) -> tuple[InstanceId, ...]:
        """Return the voters after a change."""
        match change:
            case AddVoter(instance):
                return (*self.voters, instance)
            case RemoveVoter(instance):
                return tuple(voter for voter in self.voters if voter != instance)

    def target_size(self, available: int) -> int:
        """Return the number of voters to have when ``available`` instances can be voters.

        Voters are added in pairs: one more would raise the majority, but not the number of losses
        that the log tolerates.
        """
        if available <= self.min_size:
            return available
        return self.min_size + (min(available, self.max_size) - self.min_size) // 2 * 2


@dataclass
class _Candidate:
    first_asked_at: float
    asked_at: float
    disk: int
    is_successor: bool


class VoterRoster:
    """The instances that have asked the leader of one log for a vote, or to be released of it."""

    def __init__(self) -> None:
        self._candidates: dict[InstanceId, _Candidate] = {}
        self._leaving: dict[InstanceId, float] = {}

    def record_request(
        self, now: float, instance: InstanceId, disk: int, *, is_successor: bool = True
    ) -> None:
        """Record that an instance asks for a vote; ``disk`` numbers its disk.

        One that has been there since the first start and never had a vote is no successor: it waits
        for a voter's end.
        """
        known = self._candidates.get(instance)
        first_asked_at = now if known is None else known.first_asked_at
        self._candidates[instance] = _Candidate(first_asked_at, now, disk, is_successor)
        self._leaving.pop(instance, None)

    def record_leave(self, now: float, instance: InstanceId) -> None:
        """Record that an instance is about to end."""
        self._candidates.pop(instance, None)
        self._leaving[instance] = now

    def drop_request(self, instance: InstanceId) -> None:
        """Forget an instance that could not be admitted, until it asks again."""
        self._candidates.pop(instance, None)

    def drop_leave(self, instance: InstanceId) -> None:
        """Forget that an instance is about to end."""
        self._leaving.pop(instance, None)

    def can_hand_on(self, now: float, voter_set: VoterSet) -> bool:
        """Return whether a voter that ends can be released of its vote."""
        return voter_set.is_enlarged or bool(self._waiting(now, voter_set))

    def plan(self, now: float, voter_set: VoterSet) -> VoterChange | None:
        """Return the next change of the voters, or None if there is nothing to do."""
        departing = self._departing(now, voter_set)
        if departing and voter_set.is_enlarged:
            return RemoveVoter(departing[0])
        present = [voter for voter in voter_set.voters if voter not in departing]
        waiting = self._waiting(now, voter_set)
        if waiting and len(present) < voter_set.min_size:
            return AddVoter(waiting[0])
        successors = [item for item in waiting if self._candidates[item].is_successor]
        target = voter_set.target_size(len(present) + len(successors))
        if len(present) > target:
            return _remove_oldest(present, voter_set)
        if len(present) < target and successors:
            return AddVoter(successors[0])
        if len(present) == voter_set.max_size and not departing:
            return self._replace_oldest(successors, present, voter_set)
        return None

    def _departing(self, now: float, voter_set: VoterSet) -> list[InstanceId]:
        """Return the voters that are lost, then those that are about to end, the leader last."""
        leaving = [
            voter
            for voter in voter_set.voters
            if now < self._leaving.get(voter, float("-inf")) + LEAVE_RETENTION
        ]
        leaving.sort(key=lambda voter: voter == voter_set.leader)
        return list(dict.fromkeys((*voter_set.lost, *leaving)))

    def _waiting(self, now: float, voter_set: VoterSet) -> list[InstanceId]:
        """Return the instances without a vote that ask for one, longest waiting first."""
        self._candidates = {
            instance: candidate
            for instance, candidate in self._candidates.items()
            if now < candidate.asked_at + REQUEST_RETENTION
        }
        waiting = [item for item in self._candidates if item not in voter_set.voters]
        return sorted(waiting, key=lambda item: (self._candidates[item].first_asked_at, item))

    def _replace_oldest(
        self, successors: list[InstanceId], present: list[InstanceId], voter_set: VoterSet
    ) -> VoterChange | None:
        """Add a successor to the largest set if its disk is newer than that of a voter.

        The instances that are replaced are older than their successors, so the successors get a
        majority. The next change removes the oldest voter.
        """
        oldest = min(
            (disk for voter in present if (disk := _disk_of_follower(voter, voter_set))), default=0
        )
        newer = (item for item in successors if self._candidates[item].disk > oldest > 0)
        return next((AddVoter(item) for item in newer), None)


def _remove_oldest(present: list[InstanceId], voter_set: VoterSet) -> VoterChange | None:
    followers = [voter for voter in present if _disk_of_follower(voter, voter_set)]
    if not followers:
        return None
    return RemoveVoter(min(followers, key=lambda voter: voter_set.disks[voter]))


def _disk_of_follower(voter: InstanceId, voter_set: VoterSet) -> int:
    """Return the number of a follower's disk, 0 if it is not known or the voter leads."""
    return 0 if voter == voter_set.leader else voter_set.disks.get(voter, 0)
