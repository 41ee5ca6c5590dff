/// Protocol that a relay forwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// TCP connections.
    Tcp,
    /// UDP datagrams.
    Udp,
}
