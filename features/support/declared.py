"""Default declarations for the scenarios."""

SECTIONS = {
    "profile front-desk": {
        "tier": "0",
        "models": "tatami-small",
        "max_wait_s": "20",
        "deadline_s": "60",
        "cheap": "never",
    },
    "profile quote-draft": {
        "tier": "1",
        "models": "tatami-small",
        "first_token_target_s": "5",
        "max_wait_s": "40",
        "deadline_s": "90",
        "expected_output_tokens": "200",
    },
    "profile history-digest": {
        "tier": "3",
        "models": "tatami-small",
        "first_token_target_s": "30",
        "max_wait_s": "60",
        "deadline_s": "120",
        "cheap": "always",
    },
    "profile open-hours": {
        "tier": "2",
        "models": "tatami-small",
        "open_to_all": "yes",
    },
    "client_account workshop-laredo": {"weight": "1"},
    "client_account workshop-gijon": {
        "weight": "1",
        "profiles": "front-desk, quote-draft",
    },
    "client_account head-office": {"weight": "3"},
    "service booking": {"profile": "front-desk"},
    "service catalogue": {
        "profile": "quote-draft",
        "repeatable_paths": "search",
    },
    "region_path north-east": {
        "regions": "north, east",
        "delay_s": "0.03",
        "cost_per_gb": "0.02",
    },
}


def sections_with_domains(domains) -> dict[str, dict[str, str]]:
    """Return SECTIONS plus one section per failure domain of a cluster."""
    sections = dict(SECTIONS)
    for domain in domains:
        sections[f"failure_domain {domain.name}"] = {"region": domain.region}
    return sections
