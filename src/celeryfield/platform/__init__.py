"""Adapter to the users' platform.

Translates settings, requests, status reports, objects of the store and the
operator's configuration into the project's own types. Nothing outside this
package knows the platform's names.
"""
