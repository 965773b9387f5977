"""Callers' API over HTTP."""

from tests.entry.harness import Client, Deployment


def test_statement_is_answered(deployment: Deployment, client: Client) -> None:
    """Guards against an answer that loses columns, rows or the session."""
    response = client.statement(X_Request_Id="abc")
    assert response.status == 200
    assert response.json == {
        "outcome": "done",
        "columns": ["n"],
        "rows": [[1]],
        "row_count": 1,
        "served_by": {"target": "survey-0", "role": "primary"},
    }
    assert response.headers["x-request-id"].startswith("abc.")
    assert client.statement(Siskindale_Session=response.headers["siskindale-session"]).status == 200
    first, second = deployment.received
    assert second.token.position > first.token.position == 0
