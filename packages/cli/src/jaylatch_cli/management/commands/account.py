"""``jaylatch account``."""

from argparse import ArgumentParser, Namespace
from hashlib import sha256
from secrets import token_urlsafe
from typing import Any
from urllib.parse import quote

import msgspec
from returns.pipeline import is_successful

from jaylatch_cli.client import AdministrationClient
from jaylatch_cli.management.base import EXIT_OK, EXIT_USAGE, lagging_holders
from jaylatch_cli.management.base import Command as BaseCommand

KEY_BYTES = 32


class Command(BaseCommand):
    """Lists accounts and changes their keys. Only hashes of keys are sent and stored."""

    help = "list accounts, add or remove their keys, or remove an account"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the arguments for the action, the account and the key."""
        actions = ["list", "add-key", "remove-key", "remove"]
        parser.add_argument("action", choices=actions)
        parser.add_argument("account", nargs="?")
        parser.add_argument("--key-hash", default="", help="SHA-256 of a key; default: a new key")
        parser.add_argument("--share", type=float, help="share of the capacity")
        parser.add_argument(
            "--command-id",
            default="",
            help="id of the command; a resend with the same id has no further effect",
        )
        self.add_wait_arguments(parser)

    def handle(self, client: AdministrationClient, options: Namespace) -> int:
        """Run the action."""
        if options.action == "list":
            return self._list(client, options)
        if options.account is None:
            print("an account is required")
            return EXIT_USAGE
        path = f"accounts/{quote(options.account, safe='')}"
        if options.action == "remove":
            return self._finish(client, options, client.delete(path, options.command_id), "")
        body, key = self._change(options)
        return self._finish(client, options, client.put(path, body, 0, options.command_id), key)

    def _list(self, client: AdministrationClient, options: Namespace) -> int:
        result = client.get("accounts")
        if options.json or not is_successful(result):
            return self.print_answer(options, result)
        self.print_table(
            ("ACCOUNT", "SHARE", "KEY HASHES"),
            [
                (account["id"], account["share"], " ".join(account["key_hashes"]))
                for account in result.unwrap().json()
            ],
        )
        return EXIT_OK

    def _change(self, options: Namespace) -> tuple[bytes, str]:
        """Return the change as JSON, and the newly generated key, if any."""
        change: dict[str, Any] = {} if options.share is None else {"share": options.share}
        if options.action == "remove-key":
            return msgspec.json.encode(change | {"remove_key_hashes": [options.key_hash]}), ""
        key = "" if options.key_hash else token_urlsafe(KEY_BYTES)
        digest = options.key_hash or sha256(key.encode()).hexdigest()
        return msgspec.json.encode(change | {"add_key_hashes": [digest]}), key

    def _finish(
        self, client: AdministrationClient, options: Namespace, result: Any, key: str
    ) -> int:
        if not is_successful(result):
            return self.print_failure(options, result.failure())
        generation = result.unwrap().json()["generation"]
        self.print_value(options, {"generation": generation} | ({"key": key} if key else {}))
        if not options.wait:
            return EXIT_OK
        return self.wait_until_done(
            client,
            options,
            "status",
            lambda status: lagging_holders(status, generation, "configuration"),
        )
