"""Settings and tokens of the example teams, for tests and the demo."""

import hashlib
import json

from tests.support import stage

#: Token of the platform administrator in tests.
ADMIN_TOKEN = "admin-token"
EXAMPLES = stage.ROOT / "examples"


def example(name):
    """Return the example settings `name` with a test token added."""
    settings = json.loads((EXAMPLES / f"{name}.json").read_text())
    return {**settings, "tokens": [token(f"{name}-token", operator=True)]}


def token(secret, operator=False):
    digest = hashlib.sha256(secret.encode()).hexdigest()
    return {"name": f"test-{digest[:8]}", "sha256": digest, "operator": operator}


def admin_env():
    """Return the environment variable that configures the administrator's token."""
    return {"MANGOSAIL_ADMIN_TOKEN_SHA256": token(ADMIN_TOKEN)["sha256"]}


def bearer(secret, **headers):
    return {
        "Authorization": f"Bearer {secret}",
        **{k.replace("_", "-"): str(v) for k, v in headers.items()},
    }
