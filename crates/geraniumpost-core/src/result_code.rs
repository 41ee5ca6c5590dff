use derive_more::Display;

/// Numbered result of a request, told to the caller in `X-Result-Code`.
///
/// A number stays what it means for good. Codes that say "not run" are a promise: see
/// [`Self::is_not_run`]. The table in `docs/RESULT_CODES.md` is checked against this type.
///
/// # Example
///
/// ```
/// use geraniumpost_core::ResultCode;
/// let code = ResultCode::OutcomeUnknown;
/// assert_eq!((code.number(), code.http_status()), (2004, 502));
/// assert!(!code.is_not_run());
/// assert_eq!(code.to_string(), "2004");
/// ```
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{}", self.number())]
#[repr(u16)]
pub enum ResultCode {
    /// The minion answered.
    Answered = 2000,
    /// All agents tried are overloaded.
    Overloaded = 2001,
    /// The deadline cannot be met.
    DeadlineTooShort = 2002,
    /// No agent of the service accepts work.
    NoAgent = 2003,
    /// It may or may not have run.
    OutcomeUnknown = 2004,
    /// The minion failed while it ran.
    MinionFailed = 2005,
    /// The minion's answer was cut short.
    AnswerTruncated = 2006,
    /// It ran into its deadline.
    TimedOut = 2007,
    /// The customer has too many requests in flight.
    CustomerLimit = 2008,
    /// The bearer token is missing or unknown.
    BadToken = 2009,
    /// No such service.
    UnknownService = 2010,
    /// The body is larger than the service allows.
    BodyTooLarge = 2011,
    /// The request cannot be read.
    Malformed = 2012,
    /// The key cannot be claimed because the store is down.
    StoreDown = 2013,
    /// The first request with the key ran, and its answer is not kept any more.
    FirstAnswerLost = 2014,
    /// The entry is being stopped.
    EntryLeaving = 2015,
}

impl ResultCode {
    /// All codes in the order of their numbers.
    pub const ALL: &[Self] = &[
        Self::Answered,
        Self::Overloaded,
        Self::DeadlineTooShort,
        Self::NoAgent,
        Self::OutcomeUnknown,
        Self::MinionFailed,
        Self::AnswerTruncated,
        Self::TimedOut,
        Self::CustomerLimit,
        Self::BadToken,
        Self::UnknownService,
        Self::BodyTooLarge,
        Self::Malformed,
        Self::StoreDown,
        Self::FirstAnswerLost,
        Self::EntryLeaving,
    ];

    /// The code's number.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// HTTP status that goes with the code; an answered request has its minion's own status.
    pub const fn http_status(self) -> u16 {
        match self {
            Self::Answered => 200,
            Self::Malformed => 400,
            Self::BadToken => 401,
            Self::UnknownService => 404,
            Self::FirstAnswerLost => 409,
            Self::BodyTooLarge => 413,
            Self::CustomerLimit => 429,
            Self::OutcomeUnknown | Self::MinionFailed | Self::AnswerTruncated => 502,
            Self::TimedOut => 504,
            Self::Overloaded
            | Self::DeadlineTooShort
            | Self::NoAgent
            | Self::StoreDown
            | Self::EntryLeaving => 503,
        }
    }

    /// Whether the code promises that the request did not run and never will.
    pub const fn is_not_run(self) -> bool {
        !matches!(
            self,
            Self::Answered
                | Self::OutcomeUnknown
                | Self::MinionFailed
                | Self::AnswerTruncated
                | Self::TimedOut
                | Self::FirstAnswerLost
        )
    }

    /// What happened, in one sentence.
    pub const fn meaning(self) -> &'static str {
        match self {
            Self::Answered => "The minion answered; the status and body are its own.",
            Self::Overloaded => "Not run: the agents tried have no room for more of this customer.",
            Self::DeadlineTooShort => "Not run: it could not be answered before its deadline.",
            Self::NoAgent => "Not run: no agent of the service accepts work.",
            Self::OutcomeUnknown => "It may have run once or not at all; nobody can know any more.",
            Self::MinionFailed => "It was started, and the minion failed before it answered.",
            Self::AnswerTruncated => "It ran, and the minion's answer was cut short.",
            Self::TimedOut => "It was started and did not end before its deadline.",
            Self::CustomerLimit => "Not run: the customer has too many requests in flight.",
            Self::BadToken => "Not run: the bearer token is missing or belongs to no customer.",
            Self::UnknownService => "Not run: the path names no service.",
            Self::BodyTooLarge => "Not run: the body is larger than the service allows.",
            Self::Malformed => "Not run: the request cannot be read.",
            Self::StoreDown => "Not run: the store is down, so the key cannot be claimed.",
            Self::FirstAnswerLost => {
                "The first request with this key ran; its answer is not kept any more."
            }
            Self::EntryLeaving => "Not run: the entry is being stopped.",
        }
    }

    /// What the caller should do, in one sentence.
    pub const fn advice(self) -> &'static str {
        match self {
            Self::Answered => "Nothing.",
            Self::Overloaded | Self::NoAgent | Self::EntryLeaving => {
                "Send it again after Retry-After."
            }
            Self::DeadlineTooShort => {
                "Send it again after Retry-After, or with a longer X-Request-Timeout-Ms."
            }
            Self::OutcomeUnknown | Self::FirstAnswerLost => {
                "Look at what the request was to change before sending it under a new key."
            }
            Self::MinionFailed | Self::AnswerTruncated | Self::TimedOut => {
                "Send it again if a second run does no harm; otherwise look at what it changed."
            }
            Self::CustomerLimit => {
                "Wait for answers before sending more, or ask for a higher limit."
            }
            Self::BadToken => "Send Authorization: Bearer with the customer's token.",
            Self::UnknownService => "Start the path with the name of a service.",
            Self::BodyTooLarge => "Send a smaller body, or ask for a higher max_body_kb.",
            Self::Malformed => "Correct the request.",
            Self::StoreDown => "Send it again with the same key after Retry-After.",
        }
    }
}
