//! Stand-ins for the platform, used by tests and benches, never shipped.
