"""Starts one deployment for the scenarios tagged @deployment and heals it between them."""

import sys
import tempfile
from contextlib import ExitStack
from pathlib import Path

# The worktree under test comes before an installed copy.
sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from bench.cluster import Cluster  # noqa: E402
from bench.experiment import DeploymentPlan  # noqa: E402
from bench.processes import Processes  # noqa: E402
from features.steps.helpers import Field  # noqa: E402

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# Scenarios of KNOWN-RED.txt are passed over; `-D known_red=run` runs them.
PREFIX = "scenario:"
PLAN = DeploymentPlan(databases=("caves", "surveys"), vms=3)


def needs_deployment(scenario):
    return "deployment" in scenario.effective_tags


def before_all(context):
    # Attributes that are set in later hooks end with their feature, the contents of a list do not.
    context.fields, context.resources = [], ExitStack()
    text = KNOWN_RED.read_text() if KNOWN_RED.exists() else ""
    lines = [line for line in text.splitlines() if line.startswith(PREFIX)]
    context.known_red = {line.removeprefix(PREFIX).strip() for line in lines}
    if context.config.userdata.get("known_red") == "run":
        context.known_red = set()


def before_feature(context, feature):
    """Starts the deployment with the first feature that needs it."""
    scenarios = feature.walk_scenarios()
    selected = any(needs_deployment(s) and s.should_run(context.config) for s in scenarios)
    if selected and not context.fields:
        context.fields.append(start_deployment(context.resources))


def start_deployment(resources):
    directory = Path(resources.enter_context(tempfile.TemporaryDirectory()))
    processes = resources.enter_context(Processes(directory))
    cluster = Cluster(PLAN, processes, directory)
    cluster.start()
    return Field(cluster)


def before_scenario(context, scenario):
    name = f"{scenario.filename}: {scenario.name}"
    if name in context.known_red:
        scenario.skip("listed in KNOWN-RED.txt")
    elif needs_deployment(scenario):
        context.field = context.fields[0]
        context.field.heal()


def after_all(context):
    context.resources.close()
