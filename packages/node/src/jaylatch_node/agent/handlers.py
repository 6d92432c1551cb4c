"""HTTP interface by which a target announces itself to its agent."""

from collections.abc import Callable

import msgspec
from tornado.web import RequestHandler

from jaylatch_core.control_peers import is_address
from jaylatch_core.json_documents import decode_json
from jaylatch_core.messages.membership import TargetAnnouncement

MAX_DETAIL_LENGTH = 500

_decoder = msgspec.json.Decoder(TargetAnnouncement)


class AnnounceHandler(RequestHandler):
    """``POST /announce`` with a ``TargetAnnouncement`` as JSON; repeat it every few seconds."""

    def initialize(self, announce: Callable[[TargetAnnouncement], None]) -> None:
        """Set the function that records an announcement."""
        self._announce = announce

    def post(self) -> None:
        """Record the announcement; 400 if it is malformed or its address is none."""
        try:
            announcement = decode_json(_decoder, self.request.body)
        except msgspec.DecodeError as error:
            return self._refuse(str(error))
        if not is_address(announcement.address):
            return self._refuse(f"address {announcement.address!r} is not IP:port")
        self._announce(announcement)
        self.set_status(204)
        return None

    def _refuse(self, detail: str) -> None:
        self.set_status(400)
        self.finish({"code": "announcement_invalid", "detail": detail[:MAX_DETAIL_LENGTH]})
