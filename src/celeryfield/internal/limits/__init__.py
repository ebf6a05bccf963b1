"""Rate limits of workspaces over all nodes together."""
