"""Changes of one account within the configuration document."""

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from jaylatch_core.configuration import AccountSpecification, Configuration
from jaylatch_core.exceptions import CommandRefused
from jaylatch_core.ids import AccountId


class AccountChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Changes to one account; an account that does not exist is added.

    Several keys may be valid at once, so a key is rotated by adding the new one first. Keys are
    given as SHA-256 hex digests.
    """

    add_key_hashes: tuple[str, ...] = ()
    remove_key_hashes: tuple[str, ...] = ()
    share: float | None = None


def change_account(
    configuration: Configuration, account: AccountId, change: AccountChange
) -> Result[Configuration, CommandRefused]:
    """Return the configuration with ``account`` changed; an account must keep at least one key."""
    known = next((item for item in configuration.accounts if item.id == account), None)
    present = known.key_hashes if known is not None else ()
    unknown = set(change.remove_key_hashes) - set(present)
    if unknown:
        return Err(CommandRefused(f"account {account!r} has no key {min(unknown)!r}"))
    kept = [item for item in present if item not in change.remove_key_hashes]
    keys = tuple(dict.fromkeys([*kept, *change.add_key_hashes]))
    if not keys:
        return Err(CommandRefused(f"account {account!r} would have no key; add a key first"))
    share = change.share if change.share is not None else (known.share if known else 1.0)
    changed = AccountSpecification(account, keys, share)
    others = tuple(item for item in configuration.accounts if item.id != account)
    return Success(msgspec.structs.replace(configuration, accounts=(*others, changed)))


def remove_account(
    configuration: Configuration, account: AccountId
) -> Result[Configuration, CommandRefused]:
    """Return the configuration without ``account``."""
    others = tuple(item for item in configuration.accounts if item.id != account)
    if len(others) == len(configuration.accounts):
        return Err(CommandRefused(f"account {account!r} does not exist; list the accounts"))
    return Success(msgspec.structs.replace(configuration, accounts=others))
