"""Connections to targets through libcurl."""

import pycurl


def use_new_connection(curl: pycurl.Curl) -> None:
    """Use a new connection for one request, and for no other one.

    On a reused one libcurl resends a request if it closes without a response, and takes a response
    that a faulty target repeats for the answer to the next request.
    """
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)
