/// What a relay passes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// Connections.
    Tcp,
    /// Datagrams.
    Udp,
}
