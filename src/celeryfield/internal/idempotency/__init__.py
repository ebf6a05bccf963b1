"""Run-once work: idempotency keys, and the ledger that runs each once."""
