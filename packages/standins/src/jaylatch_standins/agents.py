"""Many simulated agents in one process, which renew leases and report to entries.

To control instances and entries they look like real agents whose engines load at once; they run no
requests. They measure the cost of a node at deployment sizes whose real processes would not fit on
one machine.
"""

from argparse import ArgumentParser, Namespace
from asyncio import (
    Event,
    StreamReader,
    StreamWriter,
    create_task,
    gather,
    run,
    sleep,
    start_server,
    timeout,
)
from contextlib import suppress
from random import Random
from secrets import token_hex
from time import monotonic

from jaylatch_core.enums import Role, TargetKind
from jaylatch_core.ids import (
    Epoch,
    FailureDomainId,
    Generation,
    GroupId,
    Incarnation,
    InstanceId,
    TargetId,
)
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.membership import (
    Assignment,
    LeaseGrant,
    MemberReport,
    RenewLease,
    TargetAnnouncement,
    ViewChanged,
)
from jaylatch_core.messages.requests import TargetReport
from jaylatch_standins.ports import LOOPBACK
from jaylatch_standins.wire import Wire, connect, ignore

CALL_TIMEOUT = 2.0
"""Seconds to wait for the reply to a renewal."""
RETRY_DELAY = 0.2
"""Seconds before the next control instance is tried."""
REPORTED_LIMIT = 16
"""Concurrency limit that each agent reports for its target."""


class StandInAgent:
    """A simulated agent: listens for entries and renews its lease at the control leader."""

    def __init__(self, name: str, domain: str, options: Namespace) -> None:
        self._name = InstanceId(name)
        self._domain = FailureDomainId(domain)
        self._options = options
        self._incarnation = Incarnation(token_hex(8))
        self._wires: set[Wire] = set()
        self._view_changed = Event()
        self._address = ""
        self._generation = Generation(0)
        self._preset_generation = Generation(0)
        self._view_version = 0
        self._assignment: Assignment | None = None

    async def run(self) -> None:
        """Listen, report and renew the lease until cancelled."""
        server = await start_server(self._serve, LOOPBACK, 0)
        self._address = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"
        reporter = create_task(self._report_forever())
        leader = 0
        while not reporter.done():
            leader = await self._renew_while_granted(self._options.control, leader)
            await sleep(RETRY_DELAY)

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        wire = Wire(reader, writer, ignore)
        self._wires.add(wire)
        wire.send(self._target_report())
        await wire.run()
        self._wires.discard(wire)

    async def _report_forever(self) -> None:
        await sleep(Random(self._name).random() * self._options.report_interval)
        while True:
            for wire in self._wires:
                wire.send(self._target_report())
            await sleep(self._options.report_interval)

    async def _renew_while_granted(self, controls: list[str], leader: int) -> int:
        """Renew while ``controls[leader]`` grants leases; return the index of the next to try."""
        next_control = (leader + 1) % len(controls)
        with suppress(OSError, TimeoutError):
            wire = await connect(controls[leader], self._handle)
            reading = create_task(wire.run())
            try:
                while True:
                    self._view_changed.clear()
                    has_changed = await self._renew(wire)
                    if has_changed is None:
                        return next_control
                    if not has_changed:
                        await self._wait_for_next_renewal()
            finally:
                wire.close()
                reading.cancel()
        return next_control

    async def _renew(self, wire: Wire) -> bool | None:
        """Renew once; return whether a generation has changed, or None if no lease was granted."""
        match await wire.call(self._renewal(), CALL_TIMEOUT):
            case LeaseGrant() as grant:
                preset = Generation(max(grant.preset.generation, grant.preset.prepared_generation))
                has_changed = (grant.generation, preset) != (
                    self._generation,
                    self._preset_generation,
                )
                self._generation, self._preset_generation = grant.generation, preset
                self._assignment = grant.assignment
                if grant.view is not None:
                    self._view_version = grant.view.version
                return has_changed
            case _:
                return None

    async def _wait_for_next_renewal(self) -> None:
        with suppress(TimeoutError):
            async with timeout(self._options.renew_interval):
                await self._view_changed.wait()

    def _handle(self, wire: Wire, call: int, body: Body) -> None:
        if isinstance(body, ViewChanged):
            self._view_changed.set()

    def _renewal(self) -> RenewLease:
        return RenewLease(
            self._name,
            self._incarnation,
            (Role.AGENT,),
            self._domain,
            self._address,
            self._generation,
            self._preset_generation,
            self._view_version,
            self._member_report(),
        )

    def _member_report(self) -> MemberReport:
        assignment = self._assignment
        group = assignment.group if assignment is not None else GroupId("")
        epoch = assignment.epoch if assignment is not None else Epoch(0)
        announcement = TargetAnnouncement(
            TargetId(self._name), TargetKind.ENGINE, self._address, True
        )
        return MemberReport(
            announcement, True, group, epoch, assignment is not None, self._is_head(), 0
        )

    def _target_report(self) -> TargetReport:
        assignment = self._assignment
        group = assignment.group if assignment is not None else GroupId("")
        epoch = assignment.epoch if assignment is not None else Epoch(0)
        return TargetReport(
            self._incarnation, monotonic(), group, epoch, self._is_head(), 0, REPORTED_LIMIT
        )

    def _is_head(self) -> bool:
        return self._assignment is not None and self._assignment.members[0] == self._name


async def serve(options: Namespace) -> None:
    """Run all agents of this process until cancelled."""
    agents = [
        StandInAgent(f"agent-{number:04d}", f"domain-{number % options.domains + 1}", options)
        for number in range(options.first, options.first + options.count)
    ]
    await gather(*(agent.run() for agent in agents))


def main() -> None:
    """Parse the command line and run until the process is stopped."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument(
        "--control", nargs="+", required=True, help="IP:port of each control instance"
    )
    parser.add_argument("--first", type=int, default=0, help="number of the first agent")
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--domains", type=int, default=1)
    parser.add_argument("--renew-interval", type=float, default=0.5, help="seconds")
    parser.add_argument("--report-interval", type=float, default=0.25, help="seconds")
    run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
