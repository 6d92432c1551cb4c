"""Authentication of accounts by bearer keys, and hashing of keys and tokens."""

from hashlib import sha256

from returns.result import Failure as Err
from returns.result import Result, Success

from jaylatch_core.configuration import AccountSpecification, Configuration
from jaylatch_core.enums import Outcome
from jaylatch_core.exceptions import RequestRefused

BEARER = "Bearer "


def hash_key(key: str) -> str:
    """Return the SHA-256 hash under which settings and configuration store a key."""
    return sha256(key.encode()).hexdigest()


def find_account(
    configuration: Configuration, authorization: str
) -> Result[AccountSpecification, RequestRefused]:
    """Return the account whose key the ``Authorization`` header contains."""
    digest = hash_key(authorization.removeprefix(BEARER))
    for account in configuration.accounts:
        if digest in account.key_hashes:
            return Success(account)
    return Err(
        RequestRefused(
            "the Authorization header contains no key of a known account; send 'Bearer KEY'",
            401,
            "key_unknown",
            Outcome.NOT_RUN,
        )
    )
