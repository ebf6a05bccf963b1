"""Load balancing, retries and hedging of calls to other nodes."""
