"""TLS contexts for the listeners and for connections between nodes."""

import dataclasses
import ssl

from celeryfield import errors
from celeryfield.internal.schema import settings as settings_schema


@dataclasses.dataclass(slots=True, frozen=True)
class TlsContexts:
    """TLS contexts by purpose; all are None if TLS is disabled.

    Attributes:
        http: For the HTTP listeners.
        peer_server: For connections accepted from other nodes.
        peer_client: For connections opened to other nodes.
    """

    http: ssl.SSLContext | None = None
    peer_server: ssl.SSLContext | None = None
    peer_client: ssl.SSLContext | None = None


def load_contexts(settings: settings_schema.TlsSettings) -> TlsContexts:
    """Loads the certificates and the key and creates the contexts.

    Raises:
        SettingsError: A file cannot be read or is invalid.
    """
    if not settings.certificate_file:
        return TlsContexts()
    try:
        http = _server_context(settings)
        peer_server = _server_context(settings)
        peer_client = ssl.create_default_context(
            ssl.Purpose.SERVER_AUTH, cafile=settings.ca_file or None
        )
        peer_client.load_cert_chain(
            settings.certificate_file, settings.key_file or None
        )
        # Nodes are addressed by IP, so they are authenticated by the authority
        # that signed their certificate and not by a host name.
        peer_client.check_hostname = False
        if settings.ca_file:
            peer_server.load_verify_locations(settings.ca_file)
            peer_server.verify_mode = ssl.CERT_REQUIRED
    except (OSError, ssl.SSLError) as error:
        raise errors.SettingsError(
            f"[tls] cannot load {_file_names(settings)}: {error}; specify "
            "readable PEM files that belong together"
        ) from error
    return TlsContexts(http, peer_server, peer_client)


def _server_context(
    settings: settings_schema.TlsSettings,
) -> ssl.SSLContext:
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(
        settings.certificate_file, settings.key_file or None
    )
    return context


def _file_names(settings: settings_schema.TlsSettings) -> str:
    names = (settings.certificate_file, settings.key_file, settings.ca_file)
    return ", ".join(name for name in names if name)
