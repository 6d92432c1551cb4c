"""Authentication of operators by bearer tokens, and their permissions."""

from hmac import compare_digest

from jaylatch_core.enums import OperatorRole
from jaylatch_core.settings import EntrySettings, OperatorSettings
from jaylatch_node.entry.accounts import BEARER, hash_key

UNNAMED_OPERATOR = "operator"

_RANKS = {role: rank for rank, role in enumerate(OperatorRole)}


def find_operator(settings: EntrySettings, authorization: str) -> OperatorSettings | None:
    """Return the operator whose token the ``Authorization`` header contains, or None."""
    digest = hash_key(authorization.removeprefix(BEARER))
    for operator in settings.operators:
        if compare_digest(operator.token_hash, digest):
            return operator
    if digest in settings.operator_token_hashes:
        return OperatorSettings(UNNAMED_OPERATOR, digest, OperatorRole.ADMINISTER)
    return None


def is_permitted(operator: OperatorSettings, required_role: OperatorRole) -> bool:
    """Return whether the operator's role includes ``required_role``."""
    return _RANKS[operator.role] >= _RANKS[required_role]
