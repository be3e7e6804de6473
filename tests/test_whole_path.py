"""Demo deployment with every program in a separate process."""

from tools.demo import SEEWINKEL, run_deployment


def test_a_deployment_keeps_its_promises():
    assert run_deployment(SEEWINKEL)
