use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

use eyre::{Result, bail};
use rand::Rng;

/// Port that is bound to reserve an address.
const LOCK_PORT: u16 = 19_999;
/// First port that is allocated. It lies below the system's range of ephemeral ports. Otherwise an
/// outgoing connection could occupy the port of a process while the process restarts.
const FIRST_PORT: u16 = 20_000;
/// Maximum number of addresses that are tried.
const MAX_ATTEMPTS: usize = 1000;

/// A reserved loopback address, on which fixed ports are allocated.
///
/// If concurrent tests chose free ports of the same address, one test could bind a port between its
/// choice and its use by another test, which would cause rare failures to bind.
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
        for _ in 0..MAX_ATTEMPTS {
            let [a, b, c] = [64..=250_u8, 1..=250, 1..=250].map(|range| rng.random_range(range));
            let ip = Ipv4Addr::new(127, a, b, c);
            if let Ok(lock) = TcpListener::bind((ip, LOCK_PORT)) {
                return Ok(Self { ip, next: FIRST_PORT, _lock: lock });
            }
        }
        bail!("no free loopback address found")
    }

    /// Returns the address with a port that was not allocated before.
    pub const fn next_address(&mut self) -> SocketAddr {
        let port = self.next;
        self.next += 1;
        SocketAddr::new(IpAddr::V4(self.ip), port)
    }
}
