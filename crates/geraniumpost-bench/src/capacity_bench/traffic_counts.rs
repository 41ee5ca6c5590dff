use std::ops::{Div, Sub};

use super::flow::Flow;

/// Messages that light agents have sent and received, as totals or per second.
#[derive(Debug, Clone, Copy, Default)]
pub struct TrafficCounts {
    /// Heartbeats sent.
    pub datagrams_out: Flow,
    /// Answers to heartbeats received.
    pub datagrams_in: Flow,
    /// Frames sent over links.
    pub frames_out: Flow,
    /// Frames received over links.
    pub frames_in: Flow,
}

impl TrafficCounts {
    /// Returns all messages that the agents sent.
    pub fn sent(&self) -> Flow {
        self.datagrams_out + self.frames_out
    }

    /// Returns all messages that the agents received.
    pub fn received(&self) -> Flow {
        self.datagrams_in + self.frames_in
    }
}

impl Sub for TrafficCounts {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            datagrams_out: self.datagrams_out - other.datagrams_out,
            datagrams_in: self.datagrams_in - other.datagrams_in,
            frames_out: self.frames_out - other.frames_out,
            frames_in: self.frames_in - other.frames_in,
        }
    }
}

impl Div<f64> for TrafficCounts {
    type Output = Self;

    fn div(self, divisor: f64) -> Self {
        Self {
            datagrams_out: self.datagrams_out / divisor,
            datagrams_in: self.datagrams_in / divisor,
            frames_out: self.frames_out / divisor,
            frames_in: self.frames_in / divisor,
        }
    }
}
