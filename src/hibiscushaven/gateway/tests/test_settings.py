"""Settings of the gateway are validated, and all problems are reported together."""

from hibiscushaven.gateway.settings import load_gateway_settings, parse_gateway_settings

VALID_SETTINGS = """
[vm]
name = front-1
region = serra
failure_domain = serra-a
host = 10.1.0.34
failure_domains = serra-a:serra,vale-a:vale
[listen]
callers = 10.1.0.34:8548
readiness = 10.1.0.34:8542
directory = 10.1.0.34:8546
status = 10.1.0.34:8544
metrics_port = 9464
peer_port = 7540
[peers]
seeds = 10.1.0.34:8544,10.2.0.34:8544
[store]
address = 10.200.1.7:8541
[bounds]
grace = 6s
record_renewal = 2500ms
shift_cap = 0.15
retry_window = 10s
retry_ratio = 0.2
retry_fixed = 130
"""


def test_valid_settings_are_parsed():
    """Guards against settings that are ignored or assigned to another option."""
    settings = parse_gateway_settings(VALID_SETTINGS).ok
    options = settings.options
    assert str(options.peers_at) == "10.1.0.34:7540"
    assert options.seeds == ("10.1.0.34:7540", "10.2.0.34:7540")
    assert options.regions == {"serra-a": "serra", "vale-a": "vale"}
    assert options.budget.fixed_retries == 130 and options.grace_s == 6.0
    assert options.renewal_interval_s == 2.5
    assert str(settings.store_at) == "10.200.1.7:8541"


def test_seeds_may_be_empty():
    """Guards against a first VM that cannot start, since it has no others to contact."""
    text = VALID_SETTINGS.replace("seeds = 10.1.0.34:8544,10.2.0.34:8544", "seeds =")
    assert parse_gateway_settings(text).ok.options.seeds == ()


def test_every_invalid_field_is_reported():
    """Guards against reports that stop at the first problem."""
    text = (
        VALID_SETTINGS.replace("grace = 6s", "grace = soon")
        .replace("callers = 10.1.0.34:8548", "callers = here")
        .replace("peer_port = 7540", "peer_port = 0")
        .replace("failure_domain = serra-a", "failure_domain = vale-a")
    )
    problems = "\n".join(str(problem) for problem in parse_gateway_settings(text).error)
    for text in ("grace = 'soon'", "callers = 'here'", "peer_port = '0'", "'vale-a'"):
        assert text in problems


def test_missing_sections_and_files_are_reported(tmp_path):
    """Guards against defaults in place of required sections."""
    problems = [str(problem) for problem in parse_gateway_settings("").error]
    assert [problem.partition(":")[0] for problem in problems] == ["[vm]", "[listen]", "[store]"]
    assert load_gateway_settings(str(tmp_path / "none.ini")).is_error()
