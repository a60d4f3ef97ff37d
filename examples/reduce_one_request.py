"""Example of the deterministic simulation: two requests on two simulated hosts.

Run it with `.venv/bin/python examples/reduce_one_request.py`.
"""

from lavenderway_dev.simulation import SimulatedFleet


def main() -> None:
    """Send a request with a valid key and one with a wrong key; print the results."""
    fleet = SimulatedFleet(seed=1)
    fleet.add_host("sk-1", "saskatoon")
    fleet.add_host("rg-1", "regina")
    fleet.add_upstream("rg-1", "certify-1", "certify", slots=4, service_s=0.005)
    secret = fleet.add_workspace("coulee", rate=10.0, burst=5.0)
    fleet.add_route("certify", "certify", idempotent=False)
    fleet.run(until=6.0)
    served = fleet.request("sk-1", "/certify", secret=secret)
    refused = fleet.request("sk-1", "/certify", secret="wrong")
    fleet.run(until=7.0)
    for name in (served, refused):
        outcome = fleet.outcomes[name]
        refusal = outcome.refusal
        result = "served" if refusal is None else f"{refusal.reason.title}"
        print(f"{name}: {result} at {outcome.ended_at:.4f} s")
    print(f"executions: {dict(fleet.executions())}")


if __name__ == "__main__":
    main()
