/// Pace with which an image begins a ramp, in percent: enough that its effect shows in a
/// measurement, and little enough that most serving tasks stay within their bound.
const FIRST_PACE_PERCENT: u8 = 50;
/// Pace with which an image resumes after a suspension, in percent.
const RESUMED_PACE_PERCENT: u8 = 25;
/// Factor by which the limit rises with a poll without disturbance.
const RISE_FACTOR: u8 = 2;
/// Divisor by which the limit falls with a poll that shows a disturbance.
const FALL_DIVISOR: u8 = 4;
/// Limit below which the image is suspended, in percent.
const MIN_LIMIT_PERCENT: u8 = 8;

/// Upper limit of the pace of a best-effort image on a minion, in percent of full speed.
///
/// The limit falls at once, from full speed to suspension within two polls, and rises at most by a
/// factor of two per poll. A measurement is up to one poll old, so that it shows the effect of the
/// last pace or the one before; with this asymmetry the load at the next measurement is at most
/// twice the load that was just found harmless.
///
/// # Example
///
/// ```
/// use geraniumpost_batch::disturbance::PaceRamp;
///
/// let mut ramp = PaceRamp::FULL;
/// ramp.fall(100);
/// assert_eq!(ramp.limit_percent(), 25);
/// ramp.rise();
/// assert_eq!(ramp.limit_percent(), 50);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PaceRamp(u8);

impl PaceRamp {
    /// No limit.
    pub const FULL: Self = Self(100);
    /// The limit of an image that begins beside serving tasks which it may slow.
    pub const FIRST: Self = Self(FIRST_PACE_PERCENT);

    /// Returns the limit in percent of full speed.
    pub const fn limit_percent(self) -> u8 {
        self.0
    }

    /// Returns whether the limit is below full speed.
    pub const fn is_limited(self) -> bool {
        self.0 < 100
    }

    /// Raises the limit after a poll that showed no disturbance.
    pub const fn rise(&mut self) {
        let raised = self.0.saturating_mul(RISE_FACTOR);
        self.0 = if self.0 == 0 {
            RESUMED_PACE_PERCENT
        } else if raised > 100 {
            100
        } else {
            raised
        };
    }

    /// Lowers the limit below the current pace after a poll that showed a disturbance.
    pub const fn fall(&mut self, pace_percent: u8) {
        let current = if pace_percent < self.0 { pace_percent } else { self.0 };
        let lowered = current / FALL_DIVISOR;
        self.0 = if lowered < MIN_LIMIT_PERCENT { 0 } else { lowered };
    }
}
