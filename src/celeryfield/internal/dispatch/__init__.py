"""Admission control and dispatch of calls to the local upstream."""
