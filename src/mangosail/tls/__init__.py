"""TLS: the instance's certificate and key, and the authority that it trusts."""
