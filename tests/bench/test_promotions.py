"""Outages found in the logs of a day."""

from pathlib import Path

import pytest

from bench.promotions import Outage, find_outages, read_events, summary_lines

LOG = """
built in 0.1 s
 1.00 vm1 event=store-unavailable table=op
 9.90 vm2 level=info event=statement verb=read target=old outcome=done
10.00 vm2 level=info event=statement verb=commit target=old
10.40 vm1 level=info event=promotion-decided group=g reason=lost old=old successors=new
10.45 vm1 level=info event=promotion-ordered group=g target=new outcome=unknown
10.60 vm1 level=info event=promotion-ordered group=g target=new outcome=accepted
10.65 vm2 level=info event=statement verb=commit target=new
10.70 vm1 level=info event=promotion-decided group=g reason=lost old=old successors=new
11.60 vm3 level=info event=primary-found group=g target=new
11.65 vm3 level=info event=statement verb=read target=new
11.70 vm2 level=info event=statement verb=write target=new
12.00 vm2 level=info event=statement verb=write target=new
"""


@pytest.fixture
def outages(tmp_path: Path) -> list[Outage]:
    """Outages found in `LOG`."""
    path = tmp_path / "day.log"
    path.write_text(LOG)
    return find_outages(read_events(path))


def test_an_outage_is_split_into_its_steps(outages: list[Outage]) -> None:
    """Guards against failover times that miss a step or count a repeated decision twice."""
    (outage,) = outages
    parts = outage.detection_s, outage.ordering_s, outage.promotion_s, outage.connecting_s
    assert [round(part, 2) for part in parts] == [0.4, 0.2, 1.0, 0.1]
    assert round(outage.total_s, 2) == 1.7
    assert not outage.store_up


def test_a_leaving_primary_serves_beyond_the_decision(tmp_path: Path) -> None:
    """Guards against an outage that includes the time in which a leaving primary still serves."""
    path = tmp_path / "day.log"
    late = "11.55 vm2 level=info event=statement verb=write target=old\n"
    path.write_text(LOG.replace("reason=lost", "reason=leaving") + late)
    (outage,) = find_outages(read_events(path))
    assert round(outage.total_s, 2) == 0.15


def test_the_summary_tells_median_and_worst(outages: list[Outage]) -> None:
    """Guards against a summary without the state of the store."""
    (line,) = summary_lines(outages)
    assert line.startswith("lost, store down: 1 outages")
    assert "total_s 1.70/1.70" in line
