use super::meter::Meter;
use super::traffic_counts::TrafficCounts;

/// Counters of the messages that light agents send and receive.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Heartbeats sent.
    pub datagrams_out: Meter,
    /// Answers to heartbeats received.
    pub datagrams_in: Meter,
    /// Frames sent over links.
    pub frames_out: Meter,
    /// Frames received over links.
    pub frames_in: Meter,
}

impl Traffic {
    /// Returns the totals so far.
    pub fn read(&self) -> TrafficCounts {
        TrafficCounts {
            datagrams_out: self.datagrams_out.read(),
            datagrams_in: self.datagrams_in.read(),
            frames_out: self.frames_out.read(),
            frames_in: self.frames_in.read(),
        }
    }
}
