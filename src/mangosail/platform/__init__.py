"""The platform's services as this project sees them, and their HTTP adapter."""
