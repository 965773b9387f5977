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

PLAN = DeploymentPlan(databases=("caves", "surveys"), vms=3)


def needs_deployment(scenario):
    return "deployment" in scenario.effective_tags


def before_all(context):
    context.field, context.resources = None, ExitStack()


def before_feature(context, feature):
    scenarios = feature.walk_scenarios()
    selected = any(needs_deployment(s) and s.should_run(context.config) for s in scenarios)
    if selected and context.field is None:
        start_deployment(context)


def start_deployment(context):
    directory = context.resources.enter_context(tempfile.TemporaryDirectory())
    processes = context.resources.enter_context(Processes(Path(directory)))
    cluster = Cluster(PLAN, processes, Path(directory))
    cluster.start()
    context.field = Field(cluster)


def before_scenario(context, scenario):
    if needs_deployment(scenario):
        context.field.heal()


def after_all(context):
    context.resources.close()
