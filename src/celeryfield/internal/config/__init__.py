"""File sets of operators."""
