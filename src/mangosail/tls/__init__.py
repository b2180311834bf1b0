"""TLS: this instance's certificate and key, and the authority it trusts."""
