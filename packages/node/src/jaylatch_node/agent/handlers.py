"""HTTP interface by which a target announces itself to its agent."""

from collections.abc import Callable

import msgspec
from tornado.web import RequestHandler

from jaylatch_core.messages.membership import TargetAnnouncement


class AnnounceHandler(RequestHandler):
    """``POST /announce`` with a ``TargetAnnouncement`` as JSON; repeat it every few seconds."""

    def initialize(self, announce: Callable[[TargetAnnouncement], None]) -> None:
        """Set the function that records an announcement."""
        self._announce = announce

    def post(self) -> None:
        """Record the announcement; 400 if it is malformed."""
        try:
            announcement = msgspec.json.decode(self.request.body, type=TargetAnnouncement)
        except msgspec.DecodeError as error:
            self.set_status(400)
            self.finish({"code": "announcement_invalid", "detail": str(error)})
            return
        self._announce(announcement)
        self.set_status(204)
