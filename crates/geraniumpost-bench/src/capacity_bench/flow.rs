use std::ops::{Add, Div, Sub};

/// Messages and their bytes, as totals or per second.
#[derive(Debug, Clone, Copy, Default)]
pub struct Flow {
    /// Number of messages.
    pub count: f64,
    /// Bytes of their payload, without the headers of IP, UDP and TCP.
    pub bytes: f64,
}

impl Add for Flow {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self { count: self.count + other.count, bytes: self.bytes + other.bytes }
    }
}

impl Sub for Flow {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self { count: self.count - other.count, bytes: self.bytes - other.bytes }
    }
}

impl Div<f64> for Flow {
    type Output = Self;

    fn div(self, divisor: f64) -> Self {
        Self { count: self.count / divisor, bytes: self.bytes / divisor }
    }
}
