"""Send usage reports to the platform."""

import expression

from bilberryturn.platform import exceptions
from bilberryturn.platform import http
from bilberryturn.platform import ordering


class Reporting:
    """Client of the usage reporting interface."""

    def __init__(self, client: http.HttpClient):
        self._client = client

    def send(
        self, window: int, figures: list[dict], fencing_number: int
    ) -> expression.Result[None, exceptions.PlatformError]:
        """Report the frozen figures of one window.

        Args:
            window: Number of the usage window.
            figures: Usage by client account and profile.
            fencing_number: Epoch of the lease under which the report is sent.
        """
        result = self._client.call(
            "POST",
            "/usage-reports",
            {
                "window": window,
                "figures": figures,
                "fencing_number": fencing_number,
            },
        )
        return ordering.interpret_fenced_response(
            result, "reporting", fencing_number
        )
