"""Control: bounds the tail latency of quotes by throttling and evicting batch work."""
