"""Starts one deployment for the scenarios tagged @deployment and restores it between them."""

import sys
import tempfile
from contextlib import ExitStack
from pathlib import Path

# Import from the worktree under test rather than from an installed copy.
sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from bench.cluster import Cluster  # noqa: E402
from bench.experiment import DeploymentPlan  # noqa: E402
from bench.processes import Processes  # noqa: E402
from features.steps.helpers import DeploymentHarness  # noqa: E402

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# Scenarios listed in KNOWN-RED.txt are skipped, unless `-D known_red=run` is given.
SCENARIO_PREFIX = "scenario:"
PLAN = DeploymentPlan(databases=("caves", "surveys"), vms=3)


def needs_deployment(scenario):
    return "deployment" in scenario.effective_tags


def before_all(context):
    # Behave drops attributes that later hooks set at the end of a feature; list contents persist.
    context.harnesses, context.resources = [], ExitStack()
    known_red_text = KNOWN_RED.read_text() if KNOWN_RED.exists() else ""
    lines = [line for line in known_red_text.splitlines() if line.startswith(SCENARIO_PREFIX)]
    context.known_red = {line.removeprefix(SCENARIO_PREFIX).strip() for line in lines}
    if context.config.userdata.get("known_red") == "run":
        context.known_red = set()


def before_feature(context, feature):
    """Starts the deployment before the first feature that needs it."""
    scenarios = feature.walk_scenarios()
    selected = any(needs_deployment(s) and s.should_run(context.config) for s in scenarios)
    if selected and not context.harnesses:
        context.harnesses.append(start_deployment(context.resources))


def start_deployment(resources):
    directory = Path(resources.enter_context(tempfile.TemporaryDirectory()))
    processes = resources.enter_context(Processes(directory))
    cluster = Cluster(PLAN, processes, directory)
    cluster.start()
    return DeploymentHarness(cluster)


def before_scenario(context, scenario):
    scenario_id = f"{scenario.filename}: {scenario.name}"
    if scenario_id in context.known_red:
        scenario.skip("listed in KNOWN-RED.txt")
    elif needs_deployment(scenario):
        context.harness = context.harnesses[0]
        context.harness.heal()


def after_all(context):
    context.resources.close()
