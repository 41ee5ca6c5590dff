//! A TCP proxy that can cut its path: nothing passes, and no connection is reset.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Whether a path is cut.
pub type Cut = Arc<AtomicBool>;

/// Relays connections from `listen` to `target` while `cut` is false.
pub fn relay(listen: SocketAddr, target: SocketAddr, cut: Cut) -> std::io::Result<()> {
    let listener = TcpListener::bind(listen)?;
    std::thread::spawn(move || {
        for inbound in listener.incoming().flatten() {
            let cut = Arc::clone(&cut);
            std::thread::spawn(move || connect(inbound, target, cut));
        }
    });
    Ok(())
}

fn connect(inbound: TcpStream, target: SocketAddr, cut: Cut) {
    wait_while_cut(&cut);
    let Ok(outbound) = TcpStream::connect_timeout(&target, Duration::from_millis(400)) else {
        return;
    };
    let _ = (inbound.set_nodelay(true), outbound.set_nodelay(true));
    let (Ok(from_in), Ok(from_out)) = (inbound.try_clone(), outbound.try_clone()) else { return };
    let other_cut = Arc::clone(&cut);
    std::thread::spawn(move || pump(from_out, inbound, &other_cut));
    pump(from_in, outbound, &cut);
}

fn wait_while_cut(cut: &Cut) {
    while cut.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, cut: &Cut) {
    let mut buf = [0; 16 * 1024];
    loop {
        let count = from.read(&mut buf).unwrap_or(0);
        // Bytes that arrive during a cut are held back until it has healed.
        wait_while_cut(cut);
        if count == 0 || to.write_all(&buf[..count]).is_err() {
            let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
            return;
        }
    }
}
