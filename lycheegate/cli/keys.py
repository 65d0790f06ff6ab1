"""Command that generates credentials."""

import secrets

from cleo import helpers

from lycheegate.cli import base, exits
from lycheegate.keys import tokens

__all__ = ["NewKeyCommand"]


class NewKeyCommand(base.LocalCommand):
    """Command that generates a token and its hash, or a key that entry VMs share."""

    name = "keys new"
    description = "Generates a token for a caller or operator, or a key that entry VMs share."
    options = [
        helpers.option("peer", None, "Generate a key that entry VMs share."),
        base.JSON_OPTION,
    ]
    help = """\
Give the token to the caller or operator, and put the hash into the release note or the settings.
The token is displayed only once and is not stored.

Examples:
  lycheegate keys new
  lycheegate keys new --json > stylist-1.json
  lycheegate keys new --peer > peer.key
"""

    def handle(self) -> int:
        """Writes the new credential to standard output."""
        if self.option("peer"):
            key = secrets.token_urlsafe(32)
            if self.option("json"):
                self.write_json({"peer_key": key})
            else:
                self.write(key)
            return exits.Exit.OK
        token = tokens.make_token()
        token_hash = tokens.hash_token(token)
        if self.option("json"):
            self.write_json({"token": token, "token_hash": token_hash})
        else:
            self.write(f"token:      {token}\ntoken_hash: {token_hash}")
        return exits.Exit.OK
