"""Settings of the two users' teams as tests and the demo use them."""

import hashlib
import json

from tests.support import stage

#: Token of the platform's administrator in tests.
ADMIN_TOKEN = "admin-token"
EXAMPLES = stage.ROOT / "examples"


def example(name):
    """Return the example settings `name` with a token for tests added."""
    settings = json.loads((EXAMPLES / f"{name}.json").read_text())
    return {**settings, "tokens": [token(f"{name}-token", operator=True)]}


def token(secret, operator=False):
    digest = hashlib.sha256(secret.encode()).hexdigest()
    return {"name": f"test-{digest[:8]}", "sha256": digest, "operator": operator}


def admin_env():
    """Return the variable by which an instance knows the administrator."""
    return {"MANGOSAIL_ADMIN_TOKEN_SHA256": token(ADMIN_TOKEN)["sha256"]}


def bearer(secret, **headers):
    return {
        "Authorization": f"Bearer {secret}",
        **{k.replace("_", "-"): str(v) for k, v in headers.items()},
    }
