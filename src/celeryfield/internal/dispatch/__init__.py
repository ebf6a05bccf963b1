"""Admission of work to the local upstream."""
