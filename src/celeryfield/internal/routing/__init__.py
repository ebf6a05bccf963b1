"""Choice of nodes, retries and hedges."""
