use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

use eyre::{Result, bail};
use rand::Rng;

/// Port whose binding reserves an address.
const LOCK_PORT: u16 = 19_999;
/// First port given out. It lies below the range from which the system takes ports for
/// connections, so that no passing connection holds the port of a process that restarts.
const FIRST_PORT: u16 = 20_000;
/// Addresses tried before giving up.
const TRIES: usize = 1000;

/// A loopback address of its own, from which fixed ports are given out.
///
/// Tests that run side by side would otherwise take each other's ports in the moment between the
/// choice of a free port and its use, which shows as rare failures to bind.
#[derive(Debug)]
pub struct Loopback {
    ip: Ipv4Addr,
    next: u16,
    _lock: TcpListener,
}

impl Loopback {
    /// Reserves an address of 127.0.0.0/8 until the handle is dropped.
    pub fn reserve() -> Result<Self> {
        let mut rng = rand::rng();
        for _ in 0..TRIES {
            let [a, b, c] = [64..=250_u8, 1..=250, 1..=250].map(|range| rng.random_range(range));
            let ip = Ipv4Addr::new(127, a, b, c);
            if let Ok(lock) = TcpListener::bind((ip, LOCK_PORT)) {
                return Ok(Self { ip, next: FIRST_PORT, _lock: lock });
            }
        }
        bail!("no free loopback address found")
    }

    /// Returns the address with a port that was not given out before.
    pub const fn next_address(&mut self) -> SocketAddr {
        let port = self.next;
        self.next += 1;
        SocketAddr::new(IpAddr::V4(self.ip), port)
    }
}
