"""Kinds of declared sections and their typed values."""

from typing import Any
from typing import NamedTuple

from bilberryturn import checks

CHEAP_NEVER = "never"
CHEAP_RESERVED = "reserved"
CHEAP_ALWAYS = "always"
MAX_TIER = 9


class Profile(NamedTuple):
    """A class of requests.

    Attributes:
        tier: Service tier; 0 is the highest.
        cheap: Whether requests may run on cheap backend servers: "never",
            "reserved" (only while the other servers have the capacity to take
            them over) or "always".
        open_to_all: Whether callers may omit the key.
    """

    tier: int
    models: tuple[str, ...] = ()
    first_token_target_s: float = 0.65
    token_gap_target_s: float = 0.066
    max_wait_s: float = 30.0
    deadline_s: float = 300.0
    max_output_tokens: int = 4096
    expected_output_tokens: int = 128
    cheap: str = CHEAP_RESERVED
    open_to_all: bool = False


class ClientAccount(NamedTuple):
    """A client account.

    Attributes:
        profiles: Allowed profiles; all if empty.
    """

    weight: float = 1.0
    profiles: tuple[str, ...] = ()


class Service(NamedTuple):
    """A plain service.

    Attributes:
        profile: Profile that sets tier and deadline.
        repeatable_methods: Methods whose calls may be retried.
        repeatable_paths: Path prefixes below which any call may be retried.
    """

    profile: str
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    repeatable_paths: tuple[str, ...] = ()


class FailureDomain(NamedTuple):
    """A failure domain and the limits for scaling its backend servers.

    Attributes:
        min_running: Minimum number of running servers per pool.
        idle_stop_s: How long use must be low before a server is stopped.
        orders_per_minute: Rate limit of scaling orders per pool.
    """

    region: str
    min_running: int = 1
    idle_stop_s: float = 300.0
    orders_per_minute: float = 6.0


class RegionPath(NamedTuple):
    """Delay and transfer cost of the path between two regions."""

    regions: tuple[str, ...]
    delay_s: float = 0.03
    cost_per_gb: float = 0.0


class BackendServerMark(NamedTuple):
    """A mark on a backend server: "draining"."""

    mark: str
    author: str = ""


class VmMark(NamedTuple):
    """An operator's mark on a VM: "leaving" or "joining"."""

    mark: str
    author: str = ""


class Key(NamedTuple):
    """A granted key; its section is named by the hash of the key."""

    client_account: str
    label: str = ""
    author: str = ""


SECTION_KINDS: dict[str, type] = {
    "profile": Profile,
    "client_account": ClientAccount,
    "service": Service,
    "failure_domain": FailureDomain,
    "region_path": RegionPath,
    "backend_server": BackendServerMark,
    "vm": VmMark,
    "key": Key,
}
FILE_KINDS = (
    "profile",
    "client_account",
    "service",
    "failure_domain",
    "region_path",
)


class Declarations:
    """One version of all sections, with typed values by kind.

    Instances are immutable, so threads may share them. Keys are stored as a
    plain mapping from hash to account name because they are the most numerous
    sections.

    Attributes:
        version: Number of the last change that is included.
        sections: Unparsed options by section name.
    """

    def __init__(
        self,
        version: int = 0,
        sections: dict[str, dict[str, str]] | None = None,
        typed: dict[str, dict[str, Any]] | None = None,
    ):
        self.version = version
        self.sections = sections if sections is not None else {}
        self._typed = (
            typed if typed is not None else _build_typed(self.sections)
        )

    @property
    def profiles(self) -> dict[str, Profile]:
        """Return the profiles by name."""
        return self._typed["profile"]

    @property
    def client_accounts(self) -> dict[str, ClientAccount]:
        """Return the client accounts by name."""
        return self._typed["client_account"]

    @property
    def services(self) -> dict[str, Service]:
        """Return the plain services by name."""
        return self._typed["service"]

    @property
    def failure_domains(self) -> dict[str, FailureDomain]:
        """Return the failure domains by name."""
        return self._typed["failure_domain"]

    @property
    def region_paths(self) -> dict[str, RegionPath]:
        """Return the paths between regions by name."""
        return self._typed["region_path"]

    @property
    def backend_server_marks(self) -> dict[str, BackendServerMark]:
        """Return the marks on backend servers by name."""
        return self._typed["backend_server"]

    @property
    def vm_marks(self) -> dict[str, VmMark]:
        """Return the marks on VMs by name."""
        return self._typed["vm"]

    @property
    def keys(self) -> dict[str, str]:
        """Return the client accounts by key hash."""
        return self._typed["key"]

    def with_change(
        self,
        version: int,
        changed: dict[str, dict[str, str]],
        removed: tuple[str, ...] | list[str],
    ) -> "Declarations":
        """Return new declarations with a change applied."""
        sections = dict(self.sections)
        typed = dict(self._typed)
        affected_kinds = {kind_of(name) for name in (*changed, *removed)}
        for kind in affected_kinds & set(typed):
            typed[kind] = dict(typed[kind])
        for name in removed:
            sections.pop(name, None)
            kind, _, title = name.partition(" ")
            typed.get(kind, {}).pop(title, None)
        for name, options in changed.items():
            sections[name] = options
            _add_typed(typed, name, options)
        return Declarations(version, sections, typed)


def kind_of(section: str) -> str:
    """Return the kind of a section name such as "profile chat"."""
    return section.partition(" ")[0]


def _build_typed(
    sections: dict[str, dict[str, str]],
) -> dict[str, dict[str, Any]]:
    typed: dict[str, dict[str, Any]] = {kind: {} for kind in SECTION_KINDS}
    for name, options in sections.items():
        _add_typed(typed, name, options)
    return typed


def _add_typed(typed, name: str, options: dict[str, str]) -> None:
    """Add the typed value; skips sections and options of newer releases."""
    kind, _, title = name.partition(" ")
    if kind == "key":
        typed["key"][title] = options.get("client_account", "")
        return
    if kind not in SECTION_KINDS:
        return
    known = {
        option: text
        for option, text in options.items()
        if option in SECTION_KINDS[kind]._fields
    }
    value, _ = checks.read_section(SECTION_KINDS[kind], known, "", name)
    if value is not None:
        typed[kind][title] = value
