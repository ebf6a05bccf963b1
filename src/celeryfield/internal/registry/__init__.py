"""Records of nodes and their upstreams in the store."""
