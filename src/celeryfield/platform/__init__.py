"""Adapter to the users' platform.

Translates settings, requests, status reports, store objects and the operator's
configuration into the project's own types. The platform's names for headers
and fields are used in this package only.
"""
