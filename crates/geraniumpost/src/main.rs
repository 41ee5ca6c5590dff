//! The one shipped binary.

fn main() {}
