"""Control: holds the tail of quotes by throttling and evicting batch tasks."""
