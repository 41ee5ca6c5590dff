//! Demo, benches and soak runs against real processes, never shipped.

fn main() {}
