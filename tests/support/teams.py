"""Settings of the two users' teams as tests and the demo use them."""

import hashlib
import json

from tests.support import stage

EXAMPLES = stage.ROOT / "examples"


def example(name):
    """Return the example settings `name` with a token for tests added."""
    settings = json.loads((EXAMPLES / f"{name}.json").read_text())
    return {**settings, "tokens": [token(f"{name}-token", operator=True)]}


def token(secret, operator=False):
    digest = hashlib.sha256(secret.encode()).hexdigest()
    return {"name": f"test-{digest[:8]}", "sha256": digest, "operator": operator}


def bearer(secret, **headers):
    return {
        "Authorization": f"Bearer {secret}",
        **{k.replace("_", "-"): str(v) for k, v in headers.items()},
    }
