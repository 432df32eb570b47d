//! The fields of the settings file with their kinds, bounds and defaults.

/// `FieldKind` says what a field's value must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldKind {
    /// A name of letters, digits, `.`, `_` and `-`.
    Name,
    /// An address `ip:port`.
    Address {
        /// Whether port 0 may stand for any free port.
        may_be_any_port: bool,
    },
    /// A whole number within bounds.
    Integer {
        /// Least value.
        least: u64,
        /// Greatest value.
        most: u64,
    },
}

/// `SettingsField` describes one field of the settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingsField {
    /// Name in the file.
    pub name: &'static str,
    /// What its value must be.
    pub kind: FieldKind,
    /// Value of a field that is left out; a field without one is required.
    pub default: Option<u64>,
}

/// `SETTINGS_FIELDS` lists every field; docs/CONFIGURATION.md is checked against it.
pub const SETTINGS_FIELDS: &[SettingsField] = &[
    required("host", FieldKind::Name),
    required("zone", FieldKind::Name),
    required("listen", address(true)),
    required("peer_listen", address(true)),
    required("store_address", address(false)),
    required("hosts_address", address(false)),
    integer("max_body_bytes", 1 << 20, 1 << 10, 16 << 20),
    integer("max_connections", 4_096, 1, 65_536),
    // hyper keeps at least 8 KB for a head, so a smaller bound would not hold.
    integer("max_header_bytes", 16 << 10, 8 << 10, 1 << 20),
    integer("ring_length", 4_096, 16, 1 << 20),
    integer("drain_notice_ms", 3_000, 0, 60_000),
    // A lease shorter than a second lapses on an ordinary pause of its holder; one longer than ten
    // leaves a zone without an owner for longer than the promised 10 s.
    integer("owner_lease_ms", 6_000, 1_000, 10_000),
];

const fn required(name: &'static str, kind: FieldKind) -> SettingsField {
    SettingsField {
        name,
        kind,
        default: None,
    }
}

const fn integer(name: &'static str, default: u64, least: u64, most: u64) -> SettingsField {
    SettingsField {
        name,
        kind: FieldKind::Integer { least, most },
        default: Some(default),
    }
}

const fn address(may_be_any_port: bool) -> FieldKind {
    FieldKind::Address { may_be_any_port }
}
