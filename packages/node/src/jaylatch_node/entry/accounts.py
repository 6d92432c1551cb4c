"""Recognises accounts and operators by their bearer keys."""

from hashlib import sha256

from returns.result import Failure as Err
from returns.result import Result, Success

from jaylatch_core.configuration import AccountSpecification, Configuration
from jaylatch_core.enums import Outcome
from jaylatch_core.exceptions import RequestRefused

BEARER = "Bearer "


def hash_key(key: str) -> str:
    """Return the form in which settings and configuration hold a key."""
    return sha256(key.encode()).hexdigest()


def find_account(
    configuration: Configuration, authorization: str
) -> Result[AccountSpecification, RequestRefused]:
    """Return the account whose key the ``Authorization`` header carries."""
    digest = hash_key(authorization.removeprefix(BEARER))
    for account in configuration.accounts:
        if digest in account.key_hashes:
            return Success(account)
    return Err(
        RequestRefused(
            "the Authorization header carries no key of an account; send 'Bearer KEY'",
            401,
            "key_unknown",
            Outcome.NOT_RUN,
        )
    )
