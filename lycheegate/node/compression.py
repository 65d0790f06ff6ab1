"""Compression of large answers between VMs.

Handles configurations of thousands of routes, which take seconds over the slow links of small VMs.
"""

import zlib

import werkzeug

from lycheegate.clients import http

__all__ = ["ACCEPT_HEADER", "compress_response", "decompress_body"]

ACCEPT_HEADER = "Accept-Encoding: deflate"
"""Header of calls whose answers may be compressed; VMs of earlier releases do not send it."""
MIN_COMPRESSED_BYTES = 4096
"""Smallest body that is compressed; smaller ones take a single packet or a few."""
MAX_DECOMPRESSED_BYTES = 16 << 20
"""Largest body after decompression, which limits the memory that a malformed answer takes."""
_LEVEL = 1
"""Fastest level of zlib. It shrinks a configuration almost as much as the default level."""
_ENCODING = "deflate"
_ENCODING_HEADER = "Content-Encoding"


def compress_response(response: werkzeug.Response, request: werkzeug.Request) -> None:
    """Compresses the body of a response if it is large and the request accepts that."""
    body = response.get_data()
    if len(body) < MIN_COMPRESSED_BYTES or not request.accept_encodings.quality(_ENCODING):
        return
    response.set_data(zlib.compress(body, _LEVEL))
    response.headers[_ENCODING_HEADER] = _ENCODING


def decompress_body(response: http.Response) -> bytes:
    """Returns the body of a response, decompressed if necessary.

    Raises:
        ValueError: The body cannot be decompressed, or is larger than allowed.
    """
    if response.get_header(_ENCODING_HEADER) != _ENCODING:
        return response.body
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(response.body, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise ValueError(f"cannot decompress {len(response.body)} bytes: {error}") from error
    if not decompressor.eof:
        raise ValueError(
            f"{len(response.body)} compressed bytes are incomplete or hold more than "
            f"{MAX_DECOMPRESSED_BYTES} bytes"
        )
    return body
